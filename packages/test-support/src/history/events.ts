/** What a caller got in the end. */
export type CallOutcome
	/** An answer that the connection passed off as finished. */
	= | {
		readonly type: 'answered';
		readonly requestId: string;
		/** Version that the answer is tagged with; `null` for a plain service. */
		readonly versionId: string | null;
		/** Whether the answer's own end (a closed JSON object, `[DONE]`) was there. */
		readonly isComplete: boolean;
		/** The text or key that the answer repeats of its request. */
		readonly echo: string;
		/** Every weights digest that stands in the answer. */
		readonly digests: readonly string[];
	}
	| {readonly type: 'notRun'; readonly requestId: string | null}
	| {readonly type: 'mayHaveRun'; readonly requestId: string | null}
	/** Refused for what it is (401, 404, 409, 422), whatever ran before. */
	| {readonly type: 'refused'; readonly status: number}
	/** The connection broke, so that the caller knows that the answer is not whole. */
	| {readonly type: 'cut'}
	/** Nothing came although the caller waited far beyond the deadline. */
	| {readonly type: 'noAnswer'};

export type CommandOutcome
	= | {readonly type: 'accepted'; readonly revision: number}
		| {readonly type: 'refused'; readonly message: string}
	/** The operator lost the answer. */
		| {readonly type: 'unknown'};

/** What callers, operators, endpoints, hosts and whoever caused faults recorded. */
export type HistoryRecord
	= | {readonly type: 'callStarted'; readonly callId: string; readonly entryId: string; readonly echo: string; readonly key: string | null}
		| {readonly type: 'callEnded'; readonly callId: string; readonly outcome: CallOutcome}
	/** An endpoint began to work; `digest` is that of the weights which it really read. */
		| {readonly type: 'runStarted'; readonly hostId: string; readonly requestId: string; readonly echo: string; readonly key: string | null; readonly digest: string | null}
		| {readonly type: 'versionPublished'; readonly versionId: string; readonly digest: string}
		| {readonly type: 'commandEnded'; readonly commandId: string; readonly line: string; readonly ifRevision: number | null; readonly outcome: CommandOutcome}
	/** An accepted drain, or the start of a planned stop: no new work from now on. */
		| {readonly type: 'leaveStarted'; readonly nodeId: string; readonly cause: 'drain' | 'stop'}
		| {readonly type: 'leaveEnded'; readonly nodeId: string}
	/** One host's copy of the configuration as it stood at that moment. */
		| {readonly type: 'hostSampled'; readonly hostId: string; readonly revision: number; readonly digest: string; readonly isInService: boolean}
		| {readonly type: 'faultStarted'; readonly faultId: string; readonly kind: string; readonly nodeIds: readonly string[]}
		| {readonly type: 'faultEnded'; readonly faultId: string};

/** A record with its moment; all moments of one history come from one clock. */
export type HistoryEvent = HistoryRecord & {readonly atMs: number};

export type EventOf<Type extends HistoryEvent['type']> = Extract<HistoryEvent, {type: Type}>;

export const eventsOf = <Type extends HistoryEvent['type']>(events: readonly HistoryEvent[], type: Type): Array<EventOf<Type>> => events
	.filter((event): event is EventOf<Type> => event.type === type);

/** Collects events in the order in which they happen. */
export type History = {
	readonly events: readonly HistoryEvent[];
	record(entry: HistoryRecord): void;
};

export type HistoryOptions = {
	/** @default performance.now */
	readonly nowMs?: () => number;
};

export const createHistory = ({nowMs = () => performance.now()}: HistoryOptions = {}): History => {
	const events: HistoryEvent[] = [];
	return {
		events,
		record(entry) {
			events.push({...entry, atMs: nowMs()});
		},
	};
};

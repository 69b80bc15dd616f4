/** The final outcome of a call for its caller. */
export type CallOutcome
	/** An answer whose HTTP response ended normally. */
	= | {
		readonly type: 'answered';
		readonly requestId: string;
		/** The version that the answer is tagged with; `null` for a plain service. */
		readonly versionId: string | null;
		/** Whether the answer has its end marker (a closed JSON object, `[DONE]`). */
		readonly isComplete: boolean;
		/** The text or key of the request that the answer repeats. */
		readonly echo: string;
		/** All weights digests in the answer. */
		readonly digests: readonly string[];
	}
	| {readonly type: 'notRun'; readonly requestId: string | null}
	| {readonly type: 'mayHaveRun'; readonly requestId: string | null}
	/** Refused for the request itself (401, 404, 409, 422), independently of earlier runs. */
	| {readonly type: 'refused'; readonly status: number}
	/** The connection broke, so that the caller knows that the answer is incomplete. */
	| {readonly type: 'cut'}
	/** No response although the caller waited far beyond the deadline. */
	| {readonly type: 'noAnswer'};

export type CommandOutcome
	= | {readonly type: 'accepted'; readonly revision: number}
		| {readonly type: 'refused'; readonly message: string}
	/** The operator got no response. */
		| {readonly type: 'unknown'};

/** Records of callers, operators, endpoints, hosts and fault injection. */
export type HistoryRecord
	= | {readonly type: 'callStarted'; readonly callId: string; readonly entryId: string; readonly echo: string; readonly key: string | null}
		| {readonly type: 'callEnded'; readonly callId: string; readonly outcome: CallOutcome}
	/** An endpoint started a run; `digest` is that of the weights that it actually read. */
		| {readonly type: 'runStarted'; readonly hostId: string; readonly requestId: string; readonly echo: string; readonly key: string | null; readonly digest: string | null}
		| {readonly type: 'versionPublished'; readonly versionId: string; readonly digest: string}
		| {readonly type: 'commandEnded'; readonly commandId: string; readonly line: string; readonly ifRevision: number | null; readonly outcome: CommandOutcome}
	/** An accepted drain, or the start of a planned stop: no new work from now on. */
		| {readonly type: 'leaveStarted'; readonly nodeId: string; readonly cause: 'drain' | 'stop'}
		| {readonly type: 'leaveEnded'; readonly nodeId: string}
	/** One host's copy of the configuration at that time. */
		| {readonly type: 'hostSampled'; readonly hostId: string; readonly revision: number; readonly digest: string; readonly isInService: boolean}
		| {readonly type: 'faultStarted'; readonly faultId: string; readonly kind: string; readonly nodeIds: readonly string[]}
		| {readonly type: 'faultEnded'; readonly faultId: string};

/** A record with its time; all times of a history come from one clock. */
export type HistoryEvent = HistoryRecord & {readonly atMs: number};

export type EventOf<Type extends HistoryEvent['type']> = Extract<HistoryEvent, {type: Type}>;

export const eventsOf = <Type extends HistoryEvent['type']>(events: readonly HistoryEvent[], type: Type): Array<EventOf<Type>> => events
	.filter((event): event is EventOf<Type> => event.type === type);

/** Collects events in the order in which they occur. */
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

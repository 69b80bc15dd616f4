import type {Announcement} from '../registry/types.js';

/** Identifies one start of an endpoint; a limit does not carry over to the next start. */
export type EndpointStart = string & {readonly __brand: 'EndpointStart'};

export const endpointIdIn = (start: EndpointStart): string => start.slice(0, start.lastIndexOf('@'));

export const endpointStartOf = ({id, startedAtMs}: Pick<Announcement, 'id' | 'startedAtMs'>): EndpointStart => `${id}@${startedAtMs}` as EndpointStart;

/** The request rate that an endpoint accepts from all entries together, as advertised in the head of an answer. */
export type LimitNotice
	= | {readonly type: 'limited'; readonly perSecond: number}
		| {readonly type: 'unlimited'}
		/** The advertised limit cannot be parsed; the known limit stays in force. */
		| {readonly type: 'unreadable'; readonly text: string};

/** The latest limit of one start of an endpoint. */
export type KnownLimit = {
	/** `null`: the endpoint no longer advertises a limit. */
	readonly perSecond: number | null;
	readonly heardAtMs: number;
	/** When `perSecond` took its current value. */
	readonly sinceMs: number;
};

export type LimitLedger = {readonly limits: Map<EndpointStart, KnownLimit>};

export type LimitChange = {
	readonly start: EndpointStart;
	/** `null`: no limit was in force. */
	readonly previousPerSecond: number | null;
	readonly previousSinceMs: number;
	readonly known: KnownLimit;
};

export type LimitAnswer = {
	readonly start: EndpointStart;
	readonly notice: LimitNotice;
	/** Whether the endpoint ran the request; answers to requests that did not run may omit the limit. */
	readonly hasRun: boolean;
	/** When the request was sent. */
	readonly sentAtMs: number;
};

/** Exceeds the longest time for which an endpoint in service sends no answer. */
const limitRetentionMs = 600_000;

export const createLimitLedger = (): LimitLedger => ({limits: new Map()});

/** Requests per second; `null` if no limit is in force. */
export const limitOf = ({limits}: LimitLedger, start: EndpointStart): number | null => limits.get(start)?.perSecond ?? null;

/** Updates the limit from the head of an answer; returns `null` if the limit did not change. */
export const noteLimitAnswer = (ledger: LimitLedger, {start, notice, hasRun, sentAtMs}: LimitAnswer, nowMs: number): LimitChange | null => {
	const known = ledger.limits.get(start);
	// Answers can arrive out of order: a limit is raised or lifted only by an answer to a request sent after the known limit was received.
	const isCurrent = known === undefined || sentAtMs >= known.heardAtMs;
	switch (notice.type) {
		case 'limited': {
			const isHigher = known !== undefined && known.perSecond !== null && notice.perSecond > known.perSecond;
			return isHigher && !isCurrent ? null : setLimit(ledger, start, notice.perSecond, nowMs);
		}

		case 'unlimited': {
			return known !== undefined && known.perSecond !== null && hasRun && isCurrent ? setLimit(ledger, start, null, nowMs) : null;
		}

		case 'unreadable': {
			return null;
		}
	}
};

const setLimit = ({limits}: LimitLedger, start: EndpointStart, perSecond: number | null, atMs: number): LimitChange | null => {
	const before = limits.get(start);
	const previousPerSecond = before?.perSecond ?? null;
	const isSame = previousPerSecond === perSecond;
	const known: KnownLimit = {perSecond, heardAtMs: Math.max(atMs, before?.heardAtMs ?? atMs), sinceMs: isSame ? before?.sinceMs ?? atMs : atMs};
	limits.set(start, known);
	return isSame
		? null
		: {
			start, previousPerSecond, previousSinceMs: before?.sinceMs ?? atMs, known,
		};
};

/** A limit as exchanged between entries. */
export type SharedLimit = {readonly start: EndpointStart; readonly perSecond: number | null; readonly heardAtMs: number};

/** Updates the limit from another entry, unless a more recent one is known; returns `null` if the limit did not change. */
export const noteSharedLimit = (ledger: LimitLedger, {start, perSecond, heardAtMs}: SharedLimit): LimitChange | null => {
	const known = ledger.limits.get(start);
	return known !== undefined && known.heardAtMs >= heardAtMs ? null : setLimit(ledger, start, perSecond, heardAtMs);
};

/** Exceeds the time within which all reachable entries receive that a limit was lifted. */
const liftedRetentionMs = 5000;

/** The limits to send to other entries: those in force and those lifted recently. */
export const limitsToShare = ({limits}: LimitLedger, nowMs: number): SharedLimit[] => [...limits]
	.filter(([, {perSecond, sinceMs}]) => perSecond !== null || nowMs - sinceMs < liftedRetentionMs)
	.map(([start, {perSecond, heardAtMs}]) => ({start, perSecond, heardAtMs}));

/** Deletes limits that have not been updated within the retention period. */
export const pruneLimits = ({limits}: LimitLedger, nowMs: number): void => {
	for (const [start, {heardAtMs}] of limits) {
		if (nowMs - heardAtMs > limitRetentionMs) {
			limits.delete(start);
		}
	}
};

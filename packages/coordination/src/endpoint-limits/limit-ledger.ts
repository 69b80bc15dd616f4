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
	/** `null`: the limit was released. */
	readonly perSecond: number | null;
	readonly receivedAtMs: number;
	/** When `perSecond` took its current value. */
	readonly sinceMs: number;
	/** When the first answer without the limit was received; `null` while the endpoint advertises it. */
	readonly unadvertisedSinceMs: number | null;
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

/**
 * Time from the first answer without a limit to its release. An endpoint at its
 * limit looks idle to every entry; releasing the limit at once would cause a
 * burst of requests within a window that began under the limit.
 */
const releaseDelayMs = 4000;
/** A limit that no answer has advertised for this long is released, even if no answer without it was received. */
const limitExpiryMs = 30_000;
/** Released limits are kept for this long, so that late messages from other entries do not restore them. */
const releasedRetentionMs = 600_000;
/** A shared limit of unchanged value is newer only by more than this, because message delays make a limit appear newer each time it is shared. */
const messageDelayToleranceMs = 250;

export const createLimitLedger = (): LimitLedger => ({limits: new Map()});

/** Requests per second; `null` if no limit is in force. */
export const limitOf = ({limits}: LimitLedger, start: EndpointStart): number | null => limits.get(start)?.perSecond ?? null;

/** Updates the limit from the head of an answer; returns `null` if the limit did not change. */
export const recordLimitAnswer = (ledger: LimitLedger, {start, notice, hasRun, sentAtMs}: LimitAnswer, nowMs: number): LimitChange | null => {
	const known = ledger.limits.get(start);
	// Answers can arrive out of order: a limit is raised or released only by an answer to a request sent after the known limit was received.
	const isCurrent = known === undefined || sentAtMs >= known.receivedAtMs;
	switch (notice.type) {
		case 'limited': {
			const isHigher = known !== undefined && known.perSecond !== null && notice.perSecond > known.perSecond;
			return isHigher && !isCurrent ? null : setLimit(ledger, start, notice.perSecond, nowMs);
		}

		case 'unlimited': {
			if (known !== undefined && known.perSecond !== null && hasRun && isCurrent) {
				ledger.limits.set(start, {...known, unadvertisedSinceMs: known.unadvertisedSinceMs ?? nowMs});
			}

			return null;
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
	const unadvertisedSinceMs = before?.unadvertisedSinceMs ?? null;
	const known: KnownLimit = {
		perSecond, receivedAtMs: Math.max(atMs, before?.receivedAtMs ?? atMs), sinceMs: isSame ? before?.sinceMs ?? atMs : atMs,
		unadvertisedSinceMs: isSame && unadvertisedSinceMs !== null && unadvertisedSinceMs >= atMs ? unadvertisedSinceMs : null,
	};
	limits.set(start, known);
	return isSame
		? null
		: {
			start, previousPerSecond, previousSinceMs: before?.sinceMs ?? atMs, known,
		};
};

/** Releases the limits that endpoints no longer advertise; returns the changes. */
export const releaseLimits = (ledger: LimitLedger, nowMs: number): LimitChange[] => [...ledger.limits].flatMap(([start, {perSecond, receivedAtMs, unadvertisedSinceMs}]) => {
	const isExpired = (unadvertisedSinceMs !== null && nowMs - unadvertisedSinceMs > releaseDelayMs) || nowMs - receivedAtMs > limitExpiryMs;
	const change = perSecond !== null && isExpired ? setLimit(ledger, start, null, nowMs) : null;
	return change === null ? [] : [change];
});

/** A limit as shared between entries. */
export type SharedLimit = {readonly start: EndpointStart; readonly perSecond: number | null; readonly advertisedAtMs: number};

/** Updates the limit from another entry; returns `null` if the limit did not change. */
export const recordSharedLimit = (ledger: LimitLedger, {start, perSecond, advertisedAtMs}: SharedLimit): LimitChange | null => {
	const known = ledger.limits.get(start);
	if (known === undefined) {
		return setLimit(ledger, start, perSecond, advertisedAtMs);
	}

	// A limit that this entry shared can be returned by other entries and appear newer by the message delay.
	const isNewer = advertisedAtMs - known.receivedAtMs > (known.perSecond === perSecond ? messageDelayToleranceMs : 0);
	return isNewer ? setLimit(ledger, start, perSecond, advertisedAtMs) : null;
};

/** Released limits are shared for this long, so that all reachable entries release them. */
const releasedSharingMs = 5000;

/** Returns the limits to send to other entries: those in force and those released recently. */
export const limitsToShare = ({limits}: LimitLedger, nowMs: number): SharedLimit[] => [...limits]
	.filter(([, {perSecond, sinceMs}]) => perSecond !== null || nowMs - sinceMs < releasedSharingMs)
	.map(([start, {perSecond, receivedAtMs}]) => ({start, perSecond, advertisedAtMs: receivedAtMs}));

/** Deletes released limits after the retention period. */
export const pruneLimits = ({limits}: LimitLedger, nowMs: number): void => {
	for (const [start, {perSecond, receivedAtMs}] of limits) {
		if (perSecond === null && nowMs - receivedAtMs > releasedRetentionMs) {
			limits.delete(start);
		}
	}
};

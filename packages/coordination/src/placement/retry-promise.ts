import type {Random} from '../utils/random.js';

/** The time promised to the last refused caller of each priority at one entry, for one service. */
export type RetryPromises = {readonly lastAtMs: Map<number, number>};

export const createRetryPromises = (): RetryPromises => ({lastAtMs: new Map()});

export type PromiseOptions = {
	readonly priority: number;
	/** Requests per second of this entry that get capacity that a request of the priority may take. */
	readonly capacityPerSecond: number;
	/** How far the expected wait is above the limit for the request; it passes as engines work off their queues. */
	readonly excessWaitMs: number;
	/** Time that the caller has left. */
	readonly remainingMs: number;
	readonly random: Random;
	readonly nowMs: number;
};

/** Part of the capacity that is promised to retries; the other part is left to first attempts, which can still be in time. */
const promisedShare = 0.5;
/** Engines turn over most of their slots within it; an earlier retry finds the queues that it was refused for. */
const minRetryMs = 800;
/** Callers wait for at most a third of the time that they have left, so a later time is not kept. */
const maxRetryShare = 1 / 3;
/** Part of the longest retry time over which callers are spread for which no capacity is expected in time. */
const lateSpreadShare = 1 / 2;

/**
 * Returns the time after which a refused caller is to retry: when the capacity for its
 * priority is expected to have served the callers that were refused before it. Older
 * refusals get earlier times, and refusals of less urgent priorities later ones.
 */
export const promiseRetry = ({lastAtMs}: RetryPromises, options: PromiseOptions): number => {
	const {
		priority, capacityPerSecond, excessWaitMs, remainingMs, random, nowMs,
	} = options;
	const latestMs = remainingMs * maxRetryShare;
	const earliestMs = Math.min(latestMs, Math.max(minRetryMs, excessWaitMs));
	const intervalMs = capacityPerSecond > 0 ? 1000 / (capacityPerSecond * promisedShare) : Number.POSITIVE_INFINITY;
	const aheadAtMs = Math.max(Number.NEGATIVE_INFINITY, ...[...lastAtMs].filter(([other]) => other <= priority).map(([, atMs]) => atMs));
	const retryMs = Math.max(earliestMs, aheadAtMs + intervalMs - nowMs);
	if (retryMs > latestMs || Number.isNaN(retryMs)) {
		return latestMs - random.between(0, Math.floor(latestMs * lateSpreadShare));
	}

	lastAtMs.set(priority, nowMs + retryMs);
	return retryMs;
};

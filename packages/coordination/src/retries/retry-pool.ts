import {grantDelayMs, pooledTerms, type RetryTerms} from './retry-terms.js';
import {
	addCount, countAtLeast, countAtMost, createSlidingCount, dropCountBefore, type SlidingCount,
} from './sliding-count.js';

type ServiceCounts = {readonly requests: SlidingCount; readonly granted: SlidingCount};

/** Further attempts that one core host grants to all entries. */
export type RetryPool = {
	readonly terms: RetryTerms;
	readonly services: Map<string, ServiceCounts>;
};

export const createRetryPool = (terms: RetryTerms): RetryPool => ({terms: pooledTerms(terms), services: new Map()});

const countsOf = ({services}: RetryPool, serviceName: string): ServiceCounts => {
	const counts = services.get(serviceName) ?? {requests: createSlidingCount(), granted: createSlidingCount()};
	services.set(serviceName, counts);
	return counts;
};

/** How long a grant counts: as long as an attempt that it allowed may be in the same window as one that is allowed now. */
export const grantRetentionMs = ({windowMs}: Pick<RetryTerms, 'windowMs'>): number => windowMs + grantDelayMs;

/** Records requests for a service, from all entries. */
export const recordPooledRequests = (pool: RetryPool, serviceName: string, count: number, nowMs: number): void => {
	addCount(countsOf(pool, serviceName).requests, count, nowMs);
};

/** Further attempts that may be granted now; `part` is this core host's part of what all of them may grant. */
export const grantableRetries = (pool: RetryPool, serviceName: string, part: number, nowMs: number): number => {
	const {share, reserve, windowMs} = pool.terms;
	const {requests, granted} = countsOf(pool, serviceName);
	const allowed = part * ((share * countAtLeast(requests, nowMs - windowMs)) + reserve);
	return Math.max(0, Math.floor(allowed - countAtMost(granted, nowMs - grantRetentionMs(pool.terms))));
};

/** Grants up to `count` further attempts. */
export const grantRetries = (pool: RetryPool, serviceName: string, {count, part}: {readonly count: number; readonly part: number}, nowMs: number): number => {
	const grantedCount = Math.min(count, grantableRetries(pool, serviceName, part, nowMs));
	if (grantedCount > 0) {
		addCount(countsOf(pool, serviceName).granted, grantedCount, nowMs);
	}

	return grantedCount;
};

/** Removes expired counts, and services that have none left. */
export const pruneRetryPool = (pool: RetryPool, nowMs: number): void => {
	const beforeMs = nowMs - grantRetentionMs(pool.terms);
	for (const [serviceName, {requests, granted}] of pool.services) {
		dropCountBefore(requests, beforeMs);
		dropCountBefore(granted, beforeMs);
		if (requests.slots.length === 0 && granted.slots.length === 0) {
			pool.services.delete(serviceName);
		}
	}
};

/** Limits a rate and allows bursts up to a size. Refilled lazily on use, so that an idle bucket costs nothing. */
export type TokenBucket = {
	ratePerSecond: number;
	/** Maximum number of tokens that can accumulate. */
	burst: number;
	level: number;
	refilledAtMs: number;
};

export type TokenBucketOptions = {
	readonly ratePerSecond: number;
	readonly burst: number;
	readonly nowMs: number;
};

export const createTokenBucket = ({ratePerSecond, burst, nowMs}: TokenBucketOptions): TokenBucket => ({
	ratePerSecond, burst, level: burst, refilledAtMs: nowMs,
});

const refill = (bucket: TokenBucket, nowMs: number): void => {
	const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
	bucket.level = Math.min(bucket.burst, bucket.level + (bucket.ratePerSecond * elapsedMs / 1000));
	bucket.refilledAtMs = Math.max(bucket.refilledAtMs, nowMs);
};

/**
 * Takes `cost` and returns 0, or takes nothing and returns the milliseconds
 * until it could. A cost above the burst is admitted on a full bucket, which it
 * overdraws; otherwise it would never be admitted.
 */
export const takeTokens = (bucket: TokenBucket, cost: number, nowMs: number): number => {
	refill(bucket, nowMs);
	const needed = Math.min(cost, bucket.burst);
	if (bucket.level >= needed) {
		bucket.level -= cost;
		return 0;
	}

	return bucket.ratePerSecond > 0 ? Math.ceil((needed - bucket.level) / bucket.ratePerSecond * 1000) : Number.POSITIVE_INFINITY;
};

/** Refunds the tokens of a request that did not run. */
export const returnTokens = (bucket: TokenBucket, cost: number): void => {
	bucket.level = Math.min(bucket.burst, bucket.level + cost);
};

/** Changes the limit and keeps any debt: a limit that changes with the number of entries must not refill a spent bucket. */
export const setBucketRate = (bucket: TokenBucket, ratePerSecond: number, burst: number, nowMs: number): void => {
	refill(bucket, nowMs);
	bucket.ratePerSecond = ratePerSecond;
	bucket.burst = burst;
	bucket.level = Math.min(bucket.level, burst);
};

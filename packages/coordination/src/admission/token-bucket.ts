/** Limits a rate and allows bursts up to a size. Refilled when asked, so that it costs nothing while idle. */
export type TokenBucket = {
	ratePerSecond: number;
	/** Most that can be saved up. */
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
 * until it could. A cost above the burst is let through on a full bucket, which
 * it overdraws: it would otherwise be refused for ever.
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

/** Gives back what a request took that then did not run. */
export const returnTokens = (bucket: TokenBucket, cost: number): void => {
	bucket.level = Math.min(bucket.burst, bucket.level + cost);
};

/** Changes the limit and keeps what is owed; a limit that moves with the number of entries must not refill a spent bucket. */
export const setBucketRate = (bucket: TokenBucket, ratePerSecond: number, burst: number, nowMs: number): void => {
	refill(bucket, nowMs);
	bucket.ratePerSecond = ratePerSecond;
	bucket.burst = burst;
	bucket.level = Math.min(bucket.level, burst);
};

export type SpreadOptions = {
	/** Requests to spread; need not be a whole number. */
	readonly count: number;
	/** What each request adds to the wait at the engine that gets it. */
	readonly eachMs: number;
};

/**
 * Spreads requests over engines so that all that get any end at one level: how
 * many each gets. `startsMs` is each engine's wait before.
 */
export const spreadOver = (startsMs: readonly number[], {count, eachMs}: SpreadOptions): number[] => {
	const levelMs = levelOf(startsMs, count * eachMs);
	return startsMs.map(startMs => Math.max(0, levelMs - startMs) / eachMs);
};

/** The level up to which `amountMs` fills the engines, the lowest first. */
const levelOf = (startsMs: readonly number[], amountMs: number): number => {
	const sorted = startsMs.toSorted((a, b) => a - b);
	let sumMs = 0;
	for (const [index, startMs] of sorted.entries()) {
		sumMs += startMs;
		const levelMs = (sumMs + amountMs) / (index + 1);
		if (index === sorted.length - 1 || levelMs <= sorted[index + 1]!) {
			return levelMs;
		}
	}

	return 0;
};

export type SpreadOptions = {
	/** The number of requests to spread; need not be an integer. */
	readonly count: number;
	/** What each request adds to the wait at its engine. */
	readonly perRequestMs: number;
};

/**
 * Spreads requests over engines so that all engines that receive any reach the same
 * wait. Returns the share of each engine; `startsMs` are the waits before.
 */
export const spreadRequests = (startsMs: readonly number[], {count, perRequestMs}: SpreadOptions): number[] => {
	const levelMs = levelOf(startsMs, count * perRequestMs);
	return startsMs.map(startMs => Math.max(0, levelMs - startMs) / perRequestMs);
};

/** The common wait after `totalMs` is added to the engines with the shortest waits. */
const levelOf = (startsMs: readonly number[], totalMs: number): number => {
	const sorted = startsMs.toSorted((a, b) => a - b);
	let sumMs = 0;
	for (const [index, startMs] of sorted.entries()) {
		sumMs += startMs;
		const levelMs = (sumMs + totalMs) / (index + 1);
		if (index === sorted.length - 1 || levelMs <= sorted[index + 1]!) {
			return levelMs;
		}
	}

	return 0;
};

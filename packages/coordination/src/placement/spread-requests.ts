export type SpreadOptions = {
	/** The number of requests to spread; need not be an integer. */
	readonly count: number;
	/** What each request adds to the wait at its engine. */
	readonly perRequestMs: number;
	/** Multiples of `perRequestMs` at each engine. @default 1 at every engine */
	readonly paces?: readonly number[] | null;
};

/**
 * Spreads requests over engines so that all engines that receive any reach the same
 * wait. Returns the share of each engine; `startsMs` are the waits before.
 */
export const spreadRequests = (startsMs: readonly number[], {count, perRequestMs, paces = null}: SpreadOptions): number[] => {
	if (paces !== null) {
		return spreadByPace(startsMs, {count, perRequestMs, paces});
	}

	const levelMs = levelOf(startsMs, count * perRequestMs);
	return startsMs.map(startMs => Math.max(0, levelMs - startMs) / perRequestMs);
};

type PacedSpread = {readonly count: number; readonly perRequestMs: number; readonly paces: readonly number[]};

/** Spreads requests over engines of different paces: at the common wait, a slower engine has received fewer of them. */
const spreadByPace = (startsMs: readonly number[], {count, perRequestMs, paces}: PacedSpread): number[] => {
	const sorted = startsMs.map((startMs, index) => ({startMs, speed: 1 / paces[index]!})).toSorted((a, b) => a.startMs - b.startMs);
	let levelMs = 0;
	let startSum = 0;
	let speedSum = 0;
	for (const [index, {startMs, speed}] of sorted.entries()) {
		startSum += startMs * speed;
		speedSum += speed;
		levelMs = (startSum + (count * perRequestMs)) / speedSum;
		if (index === sorted.length - 1 || levelMs <= sorted[index + 1]!.startMs) {
			break;
		}
	}

	return startsMs.map((startMs, index) => Math.max(0, levelMs - startMs) / (perRequestMs * paces[index]!));
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

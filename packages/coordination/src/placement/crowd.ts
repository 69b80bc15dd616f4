/** How the wait at an engine grows with the requests that it is given. */
export type WaitCurve = {
	/** For the first of them. */
	readonly startMs: number;
	/** Places that are free: so many requests wait only for the prompts before theirs. */
	readonly freePlaces: number;
	/** What each of those adds to the wait. */
	readonly readMs: number;
	/** For the first that finds all places taken. */
	readonly fullStartMs: number;
	/** What each further one adds: until a place comes free. */
	readonly turnMs: number;
};

/** The wait of a request behind `before` others that an engine is given; need not be a whole number. */
export const waitBehind = ({startMs, freePlaces, readMs, fullStartMs, turnMs}: WaitCurve, before: number): number => before < freePlaces
	? startMs + (before * readMs)
	: Math.max(startMs, fullStartMs) + ((before - freePlaces) * turnMs);

/** How many requests an engine can be given until the next one would wait for `levelMs`. */
const countUpTo = ({startMs, freePlaces, readMs, fullStartMs, turnMs}: WaitCurve, levelMs: number): number => {
	const intoFree = Math.min(freePlaces, Math.max(0, levelMs - startMs) / readMs);
	return intoFree + (Math.max(0, levelMs - Math.max(startMs, fullStartMs)) / turnMs);
};

/** Halvings of the search for the level; the last ones are below a hundredth of a millisecond. */
const steps = 24;

/** Spreads requests over engines so that all that get any end at one wait: how many each gets. */
export const spreadOver = (curves: readonly WaitCurve[], count: number): number[] => {
	const levelMs = levelOf(curves, count);
	const counts = curves.map(curve => countUpTo(curve, levelMs));
	const sum = counts.reduce((total, each) => total + each, 0);
	// Where the wait jumps at the level, more than one spreading fits.
	return sum === 0 ? counts : counts.map(each => each * count / sum);
};

const levelOf = (curves: readonly WaitCurve[], count: number): number => {
	let low = Math.min(...curves.map(({startMs}) => startMs));
	let high = low + 1;
	const sumUpTo = (levelMs: number): number => curves.reduce((sum, curve) => sum + countUpTo(curve, levelMs), 0);
	while (sumUpTo(high) < count) {
		high += high - low;
	}

	for (let step = 0; step < steps; step++) {
		const middle = (low + high) / 2;
		if (sumUpTo(middle) < count) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return high;
};

/**
 * Current delay on the path from another host above its minimum, from the send times
 * that the host states. The two clocks need not agree: the smallest recent difference
 * is taken as that of an idle path.
 */
export type PathDelay = {
	minMs: number;
	/** Minimum of the previous window; a step of either clock has no effect after two windows. */
	previousMinMs: number;
	windowStartMs: number;
	delayMs: number;
};

const windowMs = 8000;

export const createPathDelay = (): PathDelay => ({
	minMs: Number.POSITIVE_INFINITY, previousMinMs: Number.POSITIVE_INFINITY, windowStartMs: 0, delayMs: 0,
});

/**
 * Returns how much later the message was read than on an idle path. `waitedMs`: how long it may
 * have waited here before; taken as the result for the first message, which nothing compares with.
 */
export const recordPathDelay = (path: PathDelay, sentAtMs: number, receivedAtMs: number, waitedMs = 0): number => {
	const differenceMs = receivedAtMs - sentAtMs;
	if (receivedAtMs - path.windowStartMs > windowMs) {
		path.previousMinMs = path.minMs;
		path.minMs = Number.POSITIVE_INFINITY;
		path.windowStartMs = receivedAtMs;
	}

	const earlierMinMs = Math.min(path.minMs, path.previousMinMs);
	path.minMs = Math.min(path.minMs, differenceMs);
	path.delayMs = Math.max(0, differenceMs - Math.min(path.minMs, path.previousMinMs) - waitedMs);
	return Number.isFinite(earlierMinMs) ? Math.max(0, differenceMs - earlierMinMs) : waitedMs;
};

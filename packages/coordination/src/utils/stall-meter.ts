/**
 * Measures the time in which this process did not run, because its host was suspended or
 * had no processor time left. Whatever arrived meanwhile is read late, which says nothing
 * about those who sent it.
 */
export type StallMeter = {
	observedAtMs: number;
	/** When the last stall ended, and how long it took. */
	endedAtMs: number;
	lastMs: number;
};

/** Interval at which a process must observe its clock. */
export const observeIntervalMs = 25;
/** A busy event loop is late by this much without having stalled. */
const minStallMs = 2 * observeIntervalMs;
/** After a stall, datagrams and answers that arrived during it are read within this time. */
const backlogMs = 100;

export const createStallMeter = (nowMs: number): StallMeter => ({observedAtMs: nowMs, endedAtMs: Number.NEGATIVE_INFINITY, lastMs: 0});

/**
 * Records that the process runs; returns the length of the stall that this observation
 * ends, otherwise 0. Called at the interval and before any duration is judged: after a
 * stall, data may be read before the timer of the interval runs.
 */
export const observeClock = (meter: StallMeter, nowMs: number): number => {
	const gapMs = nowMs - meter.observedAtMs;
	meter.observedAtMs = nowMs;
	if (gapMs < minStallMs) {
		return 0;
	}

	meter.endedAtMs = nowMs;
	meter.lastMs = gapMs;
	return gapMs;
};

/** How long data that is read now may have waited because of a stall. */
export const readDelayMs = ({endedAtMs, lastMs}: StallMeter, nowMs: number): number => nowMs - endedAtMs < backlogMs ? lastMs : 0;

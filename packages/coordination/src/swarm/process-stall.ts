/**
 * Detects stalls of this process: its host was suspended or had no processor time
 * left. Durations measured across a stall do not indicate the speed of links and sources.
 */
export type ProcessStall = {checkedAtMs: number; endedAtMs: number};

/** Interval at which a process checks its clock. */
export const stallCheckIntervalMs = 100;
/** A busy event loop is late by tens of ms; four consecutive missed checks cannot be explained by load. */
const minStallMs = 400;

export const createProcessStall = (nowMs: number): ProcessStall => ({checkedAtMs: nowMs, endedAtMs: Number.NEGATIVE_INFINITY});

/** Checks the clock. Returns `true` if the process has stalled since the last check. */
export const checkClock = (stall: ProcessStall, nowMs: number): boolean => {
	const wasStalled = nowMs - stall.checkedAtMs > minStallMs;
	if (wasStalled) {
		stall.endedAtMs = nowMs;
	}

	stall.checkedAtMs = nowMs;
	return wasStalled;
};

/** Whether the process has stalled at any time since `sinceMs`, including a stall that the next check has yet to detect. */
export const hasStalled = ({checkedAtMs, endedAtMs}: ProcessStall, sinceMs: number, nowMs: number): boolean => endedAtMs >= sinceMs || nowMs - checkedAtMs > minStallMs;

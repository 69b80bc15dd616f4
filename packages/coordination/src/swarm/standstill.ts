/**
 * Notices that this process itself stood still: its host was frozen, suspended or
 * out of processor. What it measured meanwhile says nothing of links and sources.
 */
export type Standstill = {lookedAtMs: number; endedAtMs: number};

/** How often a process looks at its clock. */
export const standstillLookMs = 100;
/** A busy loop is late by tens of ms; four looks that are missed in a row are no load. */
const leastMs = 400;

export const createStandstill = (nowMs: number): Standstill => ({lookedAtMs: nowMs, endedAtMs: Number.NEGATIVE_INFINITY});

/** `true` if the process has stood still since the last look. */
export const lookAtClock = (standstill: Standstill, nowMs: number): boolean => {
	const stoodStill = nowMs - standstill.lookedAtMs > leastMs;
	if (stoodStill) {
		standstill.endedAtMs = nowMs;
	}

	standstill.lookedAtMs = nowMs;
	return stoodStill;
};

/** Whether it stood still at any time since; also where the first event behind the standstill comes before the next look. */
export const hasStoodStill = ({lookedAtMs, endedAtMs}: Standstill, sinceMs: number, nowMs: number): boolean => endedAtMs >= sinceMs || nowMs - lookedAtMs > leastMs;

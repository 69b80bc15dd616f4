type Slot = {readonly firstAtMs: number; lastAtMs: number; count: number};

/** Counts by time, in slots of `slotMs`. */
export type SlidingCount = {slots: Slot[]};

const slotMs = 100;

export const createSlidingCount = (): SlidingCount => ({slots: []});

export const addCount = ({slots}: SlidingCount, count: number, nowMs: number): void => {
	const last = slots.at(-1);
	if (last !== undefined && nowMs - last.firstAtMs < slotMs) {
		last.lastAtMs = nowMs;
		last.count += count;
	} else {
		slots.push({firstAtMs: nowMs, lastAtMs: nowMs, count});
	}
};

const sum = (slots: readonly Slot[]): number => slots.reduce((total, {count}) => total + count, 0);

/** Everything since `fromMs`; what shares a slot with it counts too. */
export const countAtMost = ({slots}: SlidingCount, fromMs: number): number => sum(slots.filter(({lastAtMs}) => lastAtMs >= fromMs));

/** What is certainly not before `fromMs`. */
export const countAtLeast = ({slots}: SlidingCount, fromMs: number): number => sum(slots.filter(({firstAtMs}) => firstAtMs >= fromMs));

export const dropCountBefore = (counted: SlidingCount, beforeMs: number): void => {
	counted.slots = counted.slots.filter(({lastAtMs}) => lastAtMs >= beforeMs);
};

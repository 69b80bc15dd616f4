/** When a service's engines last had a free slot, as seen by this entry. */
export type SpareCapacity = {seenAtMs: number};

/** An engine's slots turn over about once in this time, so capacity that was seen within it is expected to become free again. */
const recentMs = 1500;
/** Maximum time that a caller retry waits for capacity; a complete answer still has to fit into its deadline. */
const maxWaitMs = 1500;

export const createSpareCapacity = (): SpareCapacity => ({seenAtMs: Number.NEGATIVE_INFINITY});

export const recordSpareCapacity = (capacity: SpareCapacity, nowMs: number): void => {
	capacity.seenAtMs = nowMs;
};

/**
 * Whether a caller retry that finds no spare capacity may wait for it. It has no
 * further retry and is served just as well a second later; under a fluctuating load,
 * capacity is free again by then. Under sustained overload no capacity was seen
 * recently, and it gets its final answer at once.
 */
export const mayWaitForCapacity = ({seenAtMs}: SpareCapacity, waitedMs: number, nowMs: number): boolean => waitedMs < maxWaitMs && nowMs - seenAtMs < recentMs;

/** Whether a caller retry that goes before less urgent requests may wait for capacity that these get. */
export const mayWaitBeforeOthers = (waitedMs: number): boolean => waitedMs < maxWaitMs;

/** When a service's engines last had a place to spare, as far as this caller of theirs saw. */
export type SpareRoom = {seenAtMs: number};

/** An engine's places turn over about once in this: room that was there is there again. */
const lastingMs = 1500;
/** A caller that came back waits no longer for room; its answer still has to be whole in its time. */
const longestWaitMs = 1500;

export const createSpareRoom = (): SpareRoom => ({seenAtMs: Number.NEGATIVE_INFINITY});

export const noteSpareRoom = (room: SpareRoom, nowMs: number): void => {
	room.seenAtMs = nowMs;
};

/**
 * Whether a caller that came back and finds no room may wait for some. It has no
 * further try, and is served as well a second later; under a load that comes and goes
 * there is room again by then. Under lasting overload none was seen for long, and it
 * gets its final answer at once.
 */
export const mayWaitForRoom = ({seenAtMs}: SpareRoom, waitedMs: number, nowMs: number): boolean => waitedMs < longestWaitMs && nowMs - seenAtMs < lastingMs;

/**
 * How long callers of a route wait when they come for the first time. A caller
 * tells only how long it still waits, and some wait longer than others: by the
 * route's timeout alone, most of those that come for the first time look as if they
 * had been trying for a while, and would be put behind the others and refused first.
 */
export type CallerPatience = {readonly deadlinesMs: number[]};

/** Enough to know the shortest wait within a thirtieth of its spread; at a request a second, a minute's. */
const remembered = 64;
/** Fewer say little of the shortest. */
const leastKnown = 8;
/** Until enough is known: of the route's timeout. Callers' own waits begin up to a seventh below it. */
const unknownShare = 0.8;

export const createCallerPatience = (): CallerPatience => ({deadlinesMs: []});

/**
 * Takes in how long a caller waits that surely came for the first time: callers
 * repeat on new connections, so whoever uses one again does not repeat.
 */
export const noteFirstDeadline = ({deadlinesMs}: CallerPatience, deadlineMs: number): void => {
	deadlinesMs.push(deadlineMs);
	if (deadlinesMs.length > remembered) {
		deadlinesMs.shift();
	}
};

/** Whether a caller that waits for `deadlineMs` more has surely come before. */
export const hasComeBefore = ({deadlinesMs}: CallerPatience, {deadlineMs, timeoutMs}: {deadlineMs: number; timeoutMs: number}): boolean => {
	const shortestMs = deadlinesMs.length < leastKnown ? timeoutMs * unknownShare : Math.min(...deadlinesMs);
	return deadlineMs < shortestMs;
};

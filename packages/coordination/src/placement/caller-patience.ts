/**
 * How long the callers of a route wait on their first attempt. A request states only
 * how long its caller still waits, and callers differ: judged by the route's timeout
 * alone, most first attempts would be taken for caller retries, and would be queued behind the
 * others and refused first.
 */
export type FirstAttemptDeadlines = {readonly deadlinesMs: number[]};

/** Enough to estimate the minimum within a thirtieth of the spread; at one request per second, about a minute of requests. */
const maxDeadlines = 64;
/** With fewer, the minimum is not meaningful. */
const minDeadlines = 8;
/** Share of the route's timeout that is assumed as the minimum until enough deadlines are known. Callers' own timeouts start up to a seventh below the route's. */
const defaultTimeoutShare = 0.8;

export const createFirstAttemptDeadlines = (): FirstAttemptDeadlines => ({deadlinesMs: []});

/**
 * Records the deadline of a confirmed first attempt: callers retry on new connections,
 * so a request on a reused connection is no retry.
 */
export const recordFirstDeadline = ({deadlinesMs}: FirstAttemptDeadlines, deadlineMs: number): void => {
	deadlinesMs.push(deadlineMs);
	if (deadlinesMs.length > maxDeadlines) {
		deadlinesMs.shift();
	}
};

/** Whether a request whose caller waits for `deadlineMs` more is confirmed to be a retry. */
export const isCallerRetry = ({deadlinesMs}: FirstAttemptDeadlines, {deadlineMs, timeoutMs}: {deadlineMs: number; timeoutMs: number}): boolean => {
	const minDeadlineMs = deadlinesMs.length < minDeadlines ? timeoutMs * defaultTimeoutShare : Math.min(...deadlinesMs);
	return deadlineMs < minDeadlineMs;
};

/**
 * The number of further attempts that one entry may make for one service in a sliding
 * window: a share of the requests it received, plus its part of the fixed allowance
 * that all entries share. Without this limit, failing endpoints would multiply each
 * request, and the retries would overload the remaining endpoints.
 */
export type RetryAllowance = {
	readonly windowMs: number;
	readonly share: number;
	/** Times of the requests and of the further attempts in the window. */
	readonly requestTimesMs: number[];
	readonly retryTimesMs: number[];
};

/** Share of the allowance that is used, because entries may count slightly differently. */
const usedShare = 0.8;

export const createRetryAllowance = ({windowMs, share}: {windowMs: number; share: number}): RetryAllowance => ({
	windowMs, share, requestTimesMs: [], retryTimesMs: [],
});

const dropBefore = (timesMs: number[], beforeMs: number): void => {
	const kept = timesMs.findIndex(atMs => atMs >= beforeMs);
	timesMs.splice(0, kept === -1 ? timesMs.length : kept);
};

export const recordRequest = (allowance: RetryAllowance, nowMs: number): void => {
	dropBefore(allowance.requestTimesMs, nowMs - allowance.windowMs);
	allowance.requestTimesMs.push(nowMs);
};

/** Whether the window allows one further attempt; `reserve` is this entry's part of the fixed allowance. */
export const mayTakeAttempt = (allowance: RetryAllowance, reserve: number, nowMs: number): boolean => {
	dropBefore(allowance.retryTimesMs, nowMs - allowance.windowMs);
	dropBefore(allowance.requestTimesMs, nowMs - allowance.windowMs);
	const allowed = usedShare * ((allowance.share * allowance.requestTimesMs.length) + reserve);
	return allowance.retryTimesMs.length + 1 <= allowed;
};

/** Takes one further attempt if the window allows it. */
export const takeAttempt = (allowance: RetryAllowance, reserve: number, nowMs: number): boolean => {
	if (!mayTakeAttempt(allowance, reserve, nowMs)) {
		return false;
	}

	allowance.retryTimesMs.push(nowMs);
	return true;
};

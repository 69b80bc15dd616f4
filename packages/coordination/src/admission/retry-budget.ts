/**
 * Limits retries to a fraction of first attempts. Without this limit, the failure
 * of an availability zone turns each request into several attempts, and the
 * retries overload the remaining zones.
 */
export type RetryBudget = {
	readonly share: number;
	readonly reservePerSecond: number;
	readonly most: number;
	level: number;
	refilledAtMs: number;
};

export type RetryBudgetOptions = {
	/** Retries allowed per first attempt. @default 0.2 */
	readonly share?: number;
	/** Retries per second that are allowed regardless of traffic. @default 2 */
	readonly reservePerSecond?: number;
	/** Maximum number of retries that can accumulate. @default 100 */
	readonly most?: number;
	readonly nowMs: number;
};

export const createRetryBudget = ({share = 0.2, reservePerSecond = 2, most = 100, nowMs}: RetryBudgetOptions): RetryBudget => ({
	share, reservePerSecond, most, level: Math.min(most, 10), refilledAtMs: nowMs,
});

export const recordFirstAttempt = (budget: RetryBudget): void => {
	budget.level = Math.min(budget.most, budget.level + budget.share);
};

/** Milliseconds until the reserve alone allows another retry; `undefined` if it never does. */
export const msUntilRetry = ({level, reservePerSecond}: RetryBudget): number | undefined => reservePerSecond > 0
	? Math.ceil(Math.max(0, 1 - level) / reservePerSecond * 1000)
	: undefined;

/** Returns a retry that was taken from the budget but not sent. */
export const returnRetry = (budget: RetryBudget): void => {
	budget.level = Math.min(budget.most, budget.level + 1);
};

/** Whether another retry may be sent; if so, takes it from the budget. */
export const takeRetry = (budget: RetryBudget, nowMs: number): boolean => {
	const reserve = budget.reservePerSecond * Math.max(0, nowMs - budget.refilledAtMs) / 1000;
	budget.level = Math.min(budget.most, budget.level + reserve);
	budget.refilledAtMs = Math.max(budget.refilledAtMs, nowMs);
	if (budget.level < 1) {
		return false;
	}

	budget.level -= 1;
	return true;
};

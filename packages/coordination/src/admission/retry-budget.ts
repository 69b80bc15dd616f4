/**
 * Allows retries as a share of fresh requests. Without it, a hall that is gone
 * turns each request into several, and the rest is overrun by the retries.
 */
export type RetryBudget = {
	readonly share: number;
	readonly reservePerSecond: number;
	readonly most: number;
	level: number;
	refilledAtMs: number;
};

export type RetryBudgetOptions = {
	/** Retries per fresh request. @default 0.2 */
	readonly share?: number;
	/** Retries a second that are allowed with hardly any traffic. @default 2 */
	readonly reservePerSecond?: number;
	/** Most that can be saved up. @default 100 */
	readonly most?: number;
	readonly nowMs: number;
};

export const createRetryBudget = ({share = 0.2, reservePerSecond = 2, most = 100, nowMs}: RetryBudgetOptions): RetryBudget => ({
	share, reservePerSecond, most, level: Math.min(most, 10), refilledAtMs: nowMs,
});

export const noteFreshRequest = (budget: RetryBudget): void => {
	budget.level = Math.min(budget.most, budget.level + budget.share);
};

/** Milliseconds until the reserve alone allows a retry; `undefined` if it never does. */
export const msUntilRetry = ({level, reservePerSecond}: RetryBudget): number | undefined => reservePerSecond > 0
	? Math.ceil(Math.max(0, 1 - level) / reservePerSecond * 1000)
	: undefined;

/** Gives back a retry that was taken and not sent. */
export const returnRetry = (budget: RetryBudget): void => {
	budget.level = Math.min(budget.most, budget.level + 1);
};

/** Whether one more retry may be sent; takes it from the budget if so. */
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

/**
 * Bounds retries to a share of fresh requests. When a hall is gone every
 * request fails first there; without the bound each would be sent again and
 * again, and the retries alone would overload what is left.
 */
export type RetryBudget = {
	tokens: number;
	filledAtMs: number;
	readonly share: number;
	readonly leastPerSecond: number;
	readonly maxTokens: number;
};

export type RetryBudgetOptions = {
	/** Retries for each fresh request. @default 0.2 */
	readonly share?: number;
	/** Retries allowed however few requests there are. @default 5 */
	readonly leastPerSecond?: number;
	/** Retries that can be saved up. @default 100 */
	readonly maxTokens?: number;
	readonly nowMs: number;
};

export const createRetryBudget = ({share = 0.2, leastPerSecond = 5, maxTokens = 100, nowMs}: RetryBudgetOptions): RetryBudget => ({
	tokens: Math.min(maxTokens, leastPerSecond), filledAtMs: nowMs, share, leastPerSecond, maxTokens,
});

export const noteFreshRequest = (budget: RetryBudget): void => {
	budget.tokens = Math.min(budget.maxTokens, budget.tokens + budget.share);
};

/** Takes one retry out of the budget; `false` when there is none. */
export const takeRetry = (budget: RetryBudget, nowMs: number): boolean => {
	const earned = (nowMs - budget.filledAtMs) / 1000 * budget.leastPerSecond;
	budget.tokens = Math.min(budget.maxTokens, budget.tokens + earned);
	budget.filledAtMs = nowMs;
	if (budget.tokens < 1) {
		return false;
	}

	budget.tokens--;
	return true;
};

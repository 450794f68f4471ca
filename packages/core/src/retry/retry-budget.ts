/**
 * Retry budget of one service on one entry: a token bucket filled by first
 * attempts. Retries and hedges spend from the same bucket, so that attempts
 * never exceed (1 + ratio) times requests plus the initial tokens.
 * Source: Google SRE book, "Handling Overload"; gRFC A6 (retry throttling).
 */

/** Settings of the bucket. */
export type RetryBudgetConfig = {
	/** Tokens that each first attempt adds; keep it below 0.1. */
	readonly ratio: number;
	/** Tokens at the start. */
	readonly initialTokens: number;
	/** Tokens kept at most: how large a burst of failures is covered. */
	readonly maxTokens: number;
};

/** Settings that the bench `faults` was measured with. */
export const defaultRetryBudgetConfig: RetryBudgetConfig = {
	ratio: 0.09,
	initialTokens: 5,
	maxTokens: 80,
};

/** The bucket; updated in place. */
export type RetryBudget = {
	readonly cfg: RetryBudgetConfig;
	tokens: number;
};

/** Makes a bucket. */
export const createRetryBudget = (cfg: RetryBudgetConfig): RetryBudget => ({
	cfg,
	tokens: Math.min(cfg.initialTokens, cfg.maxTokens),
});

/** Counts the first attempt of a request. */
export const recordRequest = (budget: RetryBudget): void => {
	const {ratio, maxTokens} = budget.cfg;
	budget.tokens = Math.min(maxTokens, budget.tokens + ratio);
};

/** True if one more attempt is affordable. */
export const canSpend = (budget: RetryBudget): boolean => budget.tokens >= 1;

/** Takes the token of one more attempt, if there is one. */
export const trySpend = (budget: RetryBudget): boolean => {
	if (!canSpend(budget)) {
		return false;
	}

	budget.tokens -= 1;
	return true;
};

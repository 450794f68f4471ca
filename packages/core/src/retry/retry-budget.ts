/**
 * Retry budget of one service on one entry: a token bucket filled by first
 * attempts. Retries and hedged attempts take tokens from the same bucket, so
 * that attempts never exceed (1 + ratio) times requests plus the initial tokens.
 * Source: Google SRE book, "Handling Overload"; gRFC A6 (retry throttling).
 */

export type RetryBudgetConfig = {
	/** Tokens that each first attempt adds; should be below 0.1. */
	readonly ratio: number;
	/** Tokens at the start. */
	readonly initialTokens: number;
	/** Maximum number of tokens, which limits a burst of retries. */
	readonly maxTokens: number;
};

/** Default settings. */
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

export const createRetryBudget = (cfg: RetryBudgetConfig): RetryBudget => ({
	cfg,
	tokens: Math.min(cfg.initialTokens, cfg.maxTokens),
});

/** Adds tokens for the first attempt of a request. */
export const recordRequest = (budget: RetryBudget): void => {
	const {ratio, maxTokens} = budget.cfg;
	budget.tokens = Math.min(maxTokens, budget.tokens + ratio);
};

/** True if a token for one more attempt is available. */
export const canSpend = (budget: RetryBudget): boolean => budget.tokens >= 1;

/** Takes the token for one more attempt; false if none is available. */
export const trySpend = (budget: RetryBudget): boolean => {
	if (!canSpend(budget)) {
		return false;
	}

	budget.tokens -= 1;
	return true;
};

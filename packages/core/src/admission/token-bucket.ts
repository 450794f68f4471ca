/** Token bucket: a rate with a bounded burst, refilled when it is read. */

export type TokenBucket = {
	tokens: number;
	depth: number;
	tokensPerMs: number;
	refilledAt: number;
};

/** Creates a full bucket. */
export const createTokenBucket = (
	depth: number,
	tokensPerMs: number,
	now: number,
): TokenBucket => ({tokens: depth, depth, tokensPerMs, refilledAt: now});

/** Adds the tokens accrued since the last call; returns the tokens held. */
export const refillTokens = (bucket: TokenBucket, now: number): number => {
	const passedMs = now - bucket.refilledAt;
	if (passedMs > 0) {
		const tokens = bucket.tokens + passedMs * bucket.tokensPerMs;
		bucket.tokens = Math.min(bucket.depth, tokens);
		bucket.refilledAt = now;
	}

	return bucket.tokens;
};

/** Changes rate and depth; tokens above the new depth are lost. */
export const updateTokenBucket = (
	bucket: TokenBucket,
	depth: number,
	tokensPerMs: number,
	now: number,
): void => {
	refillTokens(bucket, now);
	bucket.depth = depth;
	bucket.tokensPerMs = tokensPerMs;
	bucket.tokens = Math.min(bucket.tokens, depth);
};

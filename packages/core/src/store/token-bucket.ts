/**
 * Token bucket that lends: a call reserves its tokens at once and is told how
 * long to wait for them, so that callers queue in order without a queue.
 * Source: docs/design/platform-port.md.
 */

/** Settings of a bucket. */
export type TokenBucketConfig = {
	readonly tokensPerSecond: number;
	/** Tokens kept at most. */
	readonly burst: number;
};

/** The bucket; updated in place. */
export type TokenBucket = {
	cfg: TokenBucketConfig;
	/** Negative while tokens are lent. */
	tokens: number;
	/** When `tokens` was right, in milliseconds. */
	updatedAt: number;
};

const msPerSecond = 1000;

/**
 * Splits a rate into a steady part and a burst, so that no second ever sees
 * more than the rate. The burst is at least one token: below that every call
 * would wait, also that of an idle daemon.
 */
export const createBucketConfig = (
	ratePerSecond: number,
	burstShare: number,
): TokenBucketConfig => ({
	tokensPerSecond: ratePerSecond * (1 - burstShare),
	burst: Math.max(1, ratePerSecond * burstShare),
});

/** Makes an empty bucket: a daemon that starts has no burst to spend. */
export const createTokenBucket = (
	cfg: TokenBucketConfig,
	now: number,
): TokenBucket => ({cfg, tokens: 0, updatedAt: now});

const refill = (bucket: TokenBucket, now: number): void => {
	const elapsedMs = Math.max(0, now - bucket.updatedAt);
	const {tokensPerSecond, burst} = bucket.cfg;
	bucket.tokens = Math.min(
		burst,
		bucket.tokens + (elapsedMs * tokensPerSecond) / msPerSecond,
	);
	bucket.updatedAt = Math.max(now, bucket.updatedAt);
};

/** Changes the rate; tokens above the new burst are lost. */
export const updateRate = (
	bucket: TokenBucket,
	cfg: TokenBucketConfig,
	now: number,
): void => {
	refill(bucket, now);
	bucket.cfg = cfg;
	bucket.tokens = Math.min(bucket.tokens, cfg.burst);
};

/** Takes back what was saved up; what is lent stays lent. */
export const drainTokens = (bucket: TokenBucket, now: number): void => {
	refill(bucket, now);
	bucket.tokens = Math.min(bucket.tokens, 0);
};

/**
 * Reserves tokens.
 * @returns The time to wait before they may be used, in milliseconds;
 * undefined, and nothing is reserved, if that is above `maxWaitMs`.
 */
export const reserveTokens = (
	bucket: TokenBucket,
	count: number,
	now: number,
	maxWaitMs: number,
): number | undefined => {
	refill(bucket, now);
	const missing = count - bucket.tokens;
	const waitMs =
		missing > 0 ? (missing / bucket.cfg.tokensPerSecond) * msPerSecond : 0;
	if (waitMs > maxWaitMs) {
		return undefined;
	}

	bucket.tokens -= count;
	return waitMs;
};

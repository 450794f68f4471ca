/**
 * Token bucket with reservations: a call reserves its tokens at once and learns
 * how long to wait for them, so that callers are served in order without a
 * queue.
 * Source: docs/design/platform-port.md.
 */

/** Settings of a bucket. */
export type TokenBucketConfig = {
	readonly tokensPerSecond: number;
	/** Maximum number of saved tokens. */
	readonly burst: number;
};

/** State of a bucket; updated in place. */
export type TokenBucket = {
	cfg: TokenBucketConfig;
	/** Negative while tokens are reserved in advance. */
	tokens: number;
	/** Time at which `tokens` was computed, in milliseconds. */
	updatedAt: number;
};

const msPerSecond = 1000;

/**
 * Splits a rate into a steady part and a burst, so that no second exceeds the
 * rate. The burst is at least one token: with less, every call would wait, even
 * on an idle daemon.
 */
export const createBucketConfig = (
	ratePerSecond: number,
	burstShare: number,
): TokenBucketConfig => ({
	tokensPerSecond: ratePerSecond * (1 - burstShare),
	burst: Math.max(1, ratePerSecond * burstShare),
});

/** Creates an empty bucket, so that a restart grants no burst. */
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

/** Changes the rate; tokens above the new burst are discarded. */
export const updateRate = (
	bucket: TokenBucket,
	cfg: TokenBucketConfig,
	now: number,
): void => {
	refill(bucket, now);
	bucket.cfg = cfg;
	bucket.tokens = Math.min(bucket.tokens, cfg.burst);
};

/** Discards saved tokens; reservations stay. */
export const drainTokens = (bucket: TokenBucket, now: number): void => {
	refill(bucket, now);
	bucket.tokens = Math.min(bucket.tokens, 0);
};

/**
 * Reserves tokens.
 * @returns The time to wait before they may be used, in milliseconds;
 * `undefined`, without a reservation, if that exceeds `maxWaitMs`.
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

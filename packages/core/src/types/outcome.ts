/** What a caller may conclude about a request from its answer. */

/** `ran` once, certainly `not-run`, or `unknown`. */
export const outcomes = ['ran', 'not-run', 'unknown'] as const;

/** Outcome of a request. */
export type Outcome = (typeof outcomes)[number];

/** What a caller does next after an error. */
export type RetryAdvice =
	/** The same request will fail again. */
	| 'never'
	/** Repeat after the time in `Retry-After`. */
	| 'later'
	/** Repeat only if the request is idempotent. */
	| 'if-idempotent'
	/** Repeat with the same `Idempotency-Key`, to learn the outcome. */
	| 'same-key';

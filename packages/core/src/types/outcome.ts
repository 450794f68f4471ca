/** What a caller can conclude about a request from its response. */

/**
 * The request `ran` once, certainly did not run (`not-run`), or may have run
 * (`unknown`).
 */
export const outcomes = ['ran', 'not-run', 'unknown'] as const;

export type Outcome = (typeof outcomes)[number];

/** What a caller should do after an error. */
export type RetryAdvice =
	/** The same request would fail again. */
	| 'never'
	/** Retry after the time in `Retry-After`. */
	| 'later'
	/** Retry only if the request is idempotent. */
	| 'if-idempotent'
	/** Retry with the same `Idempotency-Key` to learn the outcome. */
	| 'same-key';

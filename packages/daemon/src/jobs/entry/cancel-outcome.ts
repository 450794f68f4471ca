/** What entries tell one another of a cancellation. */

/** What became of a cancellation. */
export type CancelOutcome =
	'cancelled' | 'unknown-job' | 'store-unavailable' | 'store-unknown';

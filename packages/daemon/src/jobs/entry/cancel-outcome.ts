/** The outcome of a cancellation, as entries report it to each other. */

export type CancelOutcome =
	'cancelled' | 'unknown-job' | 'store-unavailable' | 'store-unknown';

/**
 * Retry times of refused callers. Callers of one customer are given successive
 * times at half the rate at which its queue drains, so that their retries are
 * spread out and find room.
 */
import type {Customer} from './records.js';
import type {AdmissionSettings} from './types.js';

/** Part of the drain rate that is reserved for retries. */
const retryShare = 0.5;

/** Multiples modulo 1 are evenly spread (a low-discrepancy sequence). */
const goldenRatio = (Math.sqrt(5) - 1) / 2;

/** When a customer's queue has room for retries. */
export type RetryWindow = {
	/** Time until the queue is short enough. */
	readonly fromMs: number;
	/** Time in which the queue drains by one request. */
	readonly spacingMs: number;
};

/**
 * Returns the time after which a caller should retry, in whole milliseconds,
 * and reserves it: the next caller is given a later one.
 */
export const reserveRetryAfter = (
	settings: AdmissionSettings,
	customer: Customer,
	retryWindow: RetryWindow,
	now: number,
): number => {
	const {minRetryAfterMs, maxRetryAfterMs} = settings;
	const soonestMs = Math.max(minRetryAfterMs, retryWindow.fromMs);
	const firstMs = Math.min(maxRetryAfterMs / 2, soonestMs);
	const stepMs = Math.min(
		retryWindow.spacingMs / retryShare,
		maxRetryAfterMs / 4,
	);
	let retryAt = Math.max(customer.lastRetryAt + stepMs, now + firstMs);
	if (retryAt > now + maxRetryAfterMs) {
		// All times in the window are taken: start over between the first two.
		customer.retryPhase = (customer.retryPhase + goldenRatio) % 1;
		retryAt = now + firstMs + customer.retryPhase * stepMs;
	}

	customer.lastRetryAt = retryAt;
	return Math.ceil(retryAt - now);
};

/**
 * When a refused caller is told to return. Callers of one customer are given
 * times one after another, at half the rate at which its queue drains, so
 * that those who return find room and do not return together.
 */
import type {Customer} from './records.js';
import type {AdmissionSettings} from './types.js';

/** Part of the drain that is given to callers who return. */
const returnShare = 0.5;

/** Its multiples, modulo 1, fall evenly between one another. */
const goldenRatio = (Math.sqrt(5) - 1) / 2;

/** When there will be room for a customer's requests. */
export type RetryWindow = {
	/** Time until the queue is short enough. */
	readonly fromMs: number;
	/** Time in which the queue drains by one request. */
	readonly spacingMs: number;
};

/**
 * Computes the time after which to return, in whole milliseconds, and keeps
 * it, so that the next caller is given a later one.
 */
export const reserveRetryAfter = (
	settings: AdmissionSettings,
	customer: Customer,
	room: RetryWindow,
	now: number,
): number => {
	const {minRetryAfterMs, maxRetryAfterMs} = settings;
	const soonestMs = Math.max(minRetryAfterMs, room.fromMs);
	const firstMs = Math.min(maxRetryAfterMs / 2, soonestMs);
	const stepMs = Math.min(room.spacingMs / returnShare, maxRetryAfterMs / 4);
	let returnAt = Math.max(customer.lastRetryAt + stepMs, now + firstMs);
	if (returnAt > now + maxRetryAfterMs) {
		// Every time in the window is given; start over between the first two.
		customer.retryPhase = (customer.retryPhase + goldenRatio) % 1;
		returnAt = now + firstMs + customer.retryPhase * stepMs;
	}

	customer.lastRetryAt = returnAt;
	return Math.ceil(returnAt - now);
};

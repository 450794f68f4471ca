/**
 * Settings and input types of admission control.
 * Source: docs/design/admission.md.
 */
import type {ErrorKind} from '../errors/error-table.js';
import type {RequestClass} from '../types/contract.js';

/** Settings of admission for one service on one entry. */
export type AdmissionSettings = {
	/** Requests that this entry may have in flight at once. */
	readonly slots: number;
	/** Requests queued at once over all customers, at most. */
	readonly maxQueued: number;
	/** Transit time of a request and its answer between caller and entry. */
	readonly transitMs: number;
	/** Depth of a customer's token bucket, in time at its contracted rate. */
	readonly burstMs: number;
	/** Minimum depth of a customer's token bucket, in requests. */
	readonly minBurst: number;
	/**
	 * Delay added to the arrival time of a class, as a share of the customer's
	 * `answerWithinMs`; a request that has waited longer than the difference
	 * goes before a newer one of a more urgent class.
	 */
	readonly agingShare: Readonly<Record<RequestClass, number>>;
	/**
	 * Median service time assumed before the first sample, as a share of the
	 * shortest `answerWithinMs`.
	 */
	readonly priorShare: number;
	/** Half-life of the weight of a measured service time. */
	readonly halfLifeMs: number;
	/** Factor on the predicted wait of a request within its contract. */
	readonly contractMargin: number;
	/** Factor on the predicted wait of a request above its contract. */
	readonly borrowMargin: number;
	/** Slot releases within which a rescued request is expected to get one. */
	readonly rescueReleases: number;
	/** Interval at which one request is sent despite a too high estimate. */
	readonly probeEveryMs: number;
	/** Bounds of the retry delay that a refused caller is given. */
	readonly minRetryAfterMs: number;
	readonly maxRetryAfterMs: number;
};

/** Default settings. Source: docs/design/admission.md. */
export const defaultSettings: AdmissionSettings = {
	slots: 8,
	maxQueued: 10_000,
	transitMs: 0,
	burstMs: 2000,
	minBurst: 8,
	agingShare: {interactive: 0, standard: 0.05, batch: 0.15},
	priorShare: 0.125,
	halfLifeMs: 10_000,
	contractMargin: 1.5,
	borrowMargin: 4,
	rescueReleases: 10,
	probeEveryMs: 1000,
	minRetryAfterMs: 100,
	maxRetryAfterMs: 10_000,
};

/** The part of a customer's contract that admission uses. */
export type CustomerTerms = {
	readonly customer: string;
	readonly weight: number;
	readonly answerWithinMs: number;
	readonly requestsPerSecond: number;
};

/** A request as passed to `offer`. */
export type AdmissionRequest = {
	readonly id: string;
	readonly customer: string;
	readonly class: RequestClass;
	/** Time that the caller waits, if shorter than in its contract. */
	readonly timeoutMs?: number;
};

/** Errors with which requests are refused; all have the outcome `not-run`. */
export type RefusalKind = Extract<
	ErrorKind,
	'overloaded' | 'over-contract' | 'deadline-in-queue' | 'forbidden'
>;

/** State of a ticket; `done` is final. */
export type TicketState = 'queued' | 'in-flight' | 'done';

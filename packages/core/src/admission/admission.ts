/**
 * Admission control: `offer` dispatches, queues or refuses each request, and
 * each queued request is dispatched, dropped or cancelled exactly once. Slots
 * are shared in two tiers, each by start-time fair queueing over customers:
 * requests within their customer's contracted rate go first, and the others
 * share the remaining slots by weight.
 * Source: docs/design/admission.md.
 */
import * as assessments from './assessment.js';
import type {OfferedRequest, Assessment} from './assessment.js';
import * as deadlineWheel from './deadline-wheel.js';
import type {
	Dispatched,
	Dropped,
	NextDecision,
	OfferDecision,
	Refused,
} from './decision.js';
import * as dispatches from './dispatch.js';
import * as retryAfter from './retry-after.js';
import * as serviceTime from './service-time.js';
import * as slowdowns from './slowdown.js';
import * as states from './state.js';
import type {AdmissionState} from './state.js';
import type {Ticket} from './records.js';
import * as tokenBucket from './token-bucket.js';
import type {AdmissionRequest} from './types.js';

export type * from './decision.js';
export type * from './types.js';
export type {AdmissionState} from './state.js';
export type {Ticket} from './records.js';
export {defaultSettings} from './types.js';
export {createAdmission} from './state.js';
export {getTerms, updateTerms} from './terms.js';

/** Changes the number of slots; requests in flight above it may finish. */
export const updateSlots = (state: AdmissionState, slots: number): void => {
	state.slots = slots;
};

/** Decides on a request when a slot is free and the queue is empty. */
const offerToFreeSlot = (
	state: AdmissionState,
	offered: OfferedRequest,
	now: number,
): Dispatched | Refused => {
	const {customer, estimate, allowedMs} = offered;
	const mayDispatch =
		assessments.isLikelyInTime(state, estimate, allowedMs) ||
		(allowedMs > 0 && assessments.tryProbe(state, estimate, now));
	if (mayDispatch) {
		return dispatches.dispatch(
			state,
			assessments.createTicket(state, offered, now),
			now,
		);
	}

	const {settings} = state;
	const spacingMs = estimate.meanMs / state.slots;
	const retryWindow = {fromMs: settings.probeEveryMs, spacingMs};
	const retryAfterMs = retryAfter.reserveRetryAfter(
		settings,
		customer,
		retryWindow,
		now,
	);
	return {kind: 'refused', error: 'overloaded', retryAfterMs};
};

const refuse = (
	state: AdmissionState,
	offered: OfferedRequest,
	{forecast, missingMs}: Assessment,
	now: number,
): Refused => {
	const {customer, estimate} = offered;
	const {settings} = state;
	const spacingMs = estimate.meanMs / forecast.drainSlots;
	const retryWindow = {fromMs: missingMs, spacingMs};
	return {
		kind: 'refused',
		error: forecast.contracted ? 'overloaded' : 'over-contract',
		retryAfterMs: retryAfter.reserveRetryAfter(
			settings,
			customer,
			retryWindow,
			now,
		),
	};
};

/** Dispatches, queues or refuses a request at once. */
export const offer = (
	state: AdmissionState,
	request: AdmissionRequest,
	now: number,
): OfferDecision => {
	const customer = state.customers.get(request.customer);
	if (!customer || customer.removed) {
		return {kind: 'refused', error: 'forbidden', retryAfterMs: 0};
	}

	const offered = assessments.createOfferedRequest(state, request, customer);
	if (state.queued === 0 && state.inFlight < state.slots) {
		return offerToFreeSlot(state, offered, now);
	}

	const assessment = assessments.assessQueueing(state, offered, now);
	const isQueueFull =
		customer.queued >= customer.maxQueued ||
		state.queued >= state.settings.maxQueued;
	if (assessment.missingMs > 0 || isQueueFull) {
		return refuse(state, offered, assessment, now);
	}

	const ticket = assessments.createTicket(state, offered, now);
	states.addToQueue(state, ticket, now);
	return {kind: 'queued', ticket};
};

/** Drops a queued request that can't be answered in time. */
const drop = (state: AdmissionState, ticket: Ticket, now: number): Dropped => {
	const {settings} = state;
	states.removeFromQueue(state, ticket);
	ticket.state = 'done';
	const {meanMs} = state.estimates[ticket.classIndex]!;
	const retryWindow = {
		fromMs: now - ticket.arrivedAt,
		spacingMs: meanMs / Math.max(1, state.slots),
	};
	return {
		kind: 'dropped',
		ticket,
		error: 'deadline-in-queue',
		retryAfterMs: retryAfter.reserveRetryAfter(
			settings,
			ticket.customer,
			retryWindow,
			now,
		),
	};
};

/**
 * Dispatches the next queued request to a free slot, or drops it if its answer
 * would likely be late. After `finish`, `updateSlots` and an `offer` that
 * queued a request, call it until it returns undefined.
 */
export const next = (
	state: AdmissionState,
	now: number,
): NextDecision | undefined => {
	if (state.inFlight >= state.slots) {
		return undefined;
	}

	const ticket = dispatches.getNextTicket(state, now);
	if (!ticket) {
		return undefined;
	}

	const estimate = state.estimates[ticket.classIndex]!;
	const leftMs = ticket.deadlineAt - now;
	if (!assessments.isLikelyInTime(state, estimate, leftMs)) {
		return drop(state, ticket, now);
	}

	states.removeFromQueue(state, ticket);
	return dispatches.dispatch(state, ticket, now);
};

/**
 * Drops queued requests whose answers would likely be late, and moves those
 * that soon would be to the rescue queue. Call every few milliseconds while
 * requests are queued.
 */
export const expire = (state: AdmissionState, now: number): Dropped[] => {
	const dropped: Dropped[] = [];
	for (const ticket of deadlineWheel.getDue(state.wheel, now)) {
		if (ticket.giveUpAt <= now) {
			dropped.push(drop(state, ticket, now));
		} else {
			states.moveToRescue(state, ticket, now);
		}
	}

	return dropped;
};

/**
 * Cancels a ticket. A queued one leaves the queue at once. One in flight keeps
 * its slot until `finish`, since its attempt is still running.
 */
export const cancel = (
	state: AdmissionState,
	ticket: Ticket,
): 'left-queue' | 'in-flight' | 'done' => {
	if (ticket.state !== 'queued') {
		return ticket.state;
	}

	states.removeFromQueue(state, ticket);
	ticket.state = 'done';
	return 'left-queue';
};

/** The result that is passed to `finish`. */
export type FinishResult = {
	/** False if its duration is no service time, such as after a cancellation. */
	readonly measured: boolean;
};

/** Frees the slot of a ticket in flight; repeated calls have no effect. */
export const finish = (
	state: AdmissionState,
	ticket: Ticket,
	result: FinishResult,
	now: number,
): void => {
	if (ticket.state !== 'in-flight') {
		return;
	}

	const serviceMs = now - ticket.dispatchedAt;
	ticket.state = 'done';
	state.inFlight--;
	state.slowdown.lastReleasedAt = now;
	state.inFlightMs -= ticket.chargedMs;
	dispatches.correctCharge(ticket, serviceMs);
	if (result.measured) {
		const estimate = state.estimates[ticket.classIndex]!;
		serviceTime.recordServiceTime(estimate, serviceMs, now);
		const {slowdown} = state;
		slowdowns.recordRatio(slowdown, estimate, serviceMs, ticket.chargedMs);
	}
};

/** Requests queued and in flight, as reported to operators. */
export type AdmissionStatus = {
	readonly slots: number;
	readonly inFlight: number;
	readonly queued: number;
	readonly customers: ReadonlyArray<{
		readonly customer: string;
		readonly queued: number;
		readonly tokens: number;
	}>;
};

/** Returns the status that is reported to operators. */
export const getStatus = (
	state: AdmissionState,
	now: number,
): AdmissionStatus => ({
	slots: state.slots,
	inFlight: state.inFlight,
	queued: state.queued,
	customers: Array.from(state.customers.values(), (each) => ({
		customer: each.terms.customer,
		queued: each.queued,
		tokens: tokenBucket.refillTokens(each.bucket, now),
	})),
});

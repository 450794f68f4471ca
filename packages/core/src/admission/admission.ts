/**
 * Admission: every request offered is dispatched, queued or refused at once,
 * and every queued one ends dispatched, dropped or cancelled, exactly once.
 * Two tiers share the slots: requests covered by their customer's contracted
 * rate go first, the rest by weight (as hierarchical token buckets do), each
 * tier by start-time fair queueing over customers.
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
import * as returnTime from './retry-after.js';
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

/** Changes the number of slots; what is in flight above it runs out. */
export const updateSlots = (state: AdmissionState, slots: number): void => {
	state.slots = slots;
};

/** Decides where a slot is free and nobody waits for it. */
const offerToIdle = (
	state: AdmissionState,
	applicant: OfferedRequest,
	now: number,
): Dispatched | Refused => {
	const {customer, estimate, allowedMs} = applicant;
	const hopeful =
		assessments.isLikelyInTime(state, estimate, allowedMs) ||
		(allowedMs > 0 && assessments.tryProbe(state, estimate, now));
	if (hopeful) {
		return dispatches.dispatch(
			state,
			assessments.createTicket(state, applicant, now),
			now,
		);
	}

	const {settings} = state;
	const spacingMs = estimate.meanMs / state.slots;
	const room = {fromMs: settings.probeEveryMs, spacingMs};
	const retryAfterMs = returnTime.reserveRetryAfter(
		settings,
		customer,
		room,
		now,
	);
	return {kind: 'refused', error: 'overloaded', retryAfterMs};
};

const refuse = (
	state: AdmissionState,
	applicant: OfferedRequest,
	{forecast, missingMs}: Assessment,
	now: number,
): Refused => {
	const {customer, estimate} = applicant;
	const {settings} = state;
	const spacingMs = estimate.meanMs / forecast.drainSlots;
	const room = {fromMs: missingMs, spacingMs};
	return {
		kind: 'refused',
		error: forecast.contracted ? 'overloaded' : 'over-contract',
		retryAfterMs: returnTime.reserveRetryAfter(settings, customer, room, now),
	};
};

/** Offers a request; ends at once in a dispatch, a place or a refusal. */
export const offer = (
	state: AdmissionState,
	request: AdmissionRequest,
	now: number,
): OfferDecision => {
	const customer = state.customers.get(request.customer);
	if (!customer || customer.removed) {
		return {kind: 'refused', error: 'forbidden', retryAfterMs: 0};
	}

	const applicant = assessments.createOfferedRequest(state, request, customer);
	if (state.queued === 0 && state.inFlight < state.slots) {
		return offerToIdle(state, applicant, now);
	}

	const assessment = assessments.assessQueueing(state, applicant, now);
	const full =
		customer.queued >= customer.maxQueued ||
		state.queued >= state.settings.maxQueued;
	if (assessment.missingMs > 0 || full) {
		return refuse(state, applicant, assessment, now);
	}

	const ticket = assessments.createTicket(state, applicant, now);
	states.addToQueue(state, ticket, now);
	return {kind: 'queued', ticket};
};

/** Ends a queued ticket that can't be answered in time. */
const drop = (state: AdmissionState, ticket: Ticket, now: number): Dropped => {
	const {settings} = state;
	states.removeFromQueue(state, ticket);
	ticket.state = 'done';
	const {meanMs} = state.estimates[ticket.classIndex]!;
	const room = {
		fromMs: now - ticket.arrivedAt,
		spacingMs: meanMs / Math.max(1, state.slots),
	};
	return {
		kind: 'dropped',
		ticket,
		error: 'deadline-in-queue',
		retryAfterMs: returnTime.reserveRetryAfter(
			settings,
			ticket.customer,
			room,
			now,
		),
	};
};

/**
 * Gives a free slot to the next queued request, or drops that request if its
 * answer would likely be late. Call until undefined, after `finish`,
 * `updateSlots` and an `offer` that queued.
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
 * Drops queued requests whose answers would likely be late, and puts those
 * first that soon would be. Call every few milliseconds while requests are
 * queued.
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
 * Cancels a ticket. A queued one is gone at once. One in flight keeps its
 * slot until `finish`, when the attempt has really ended.
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

/** How a request in flight ended. */
export type FinishResult = {
	/** False if its time tells nothing, such as after a cancellation. */
	readonly measured: boolean;
};

/** Frees the slot of a ticket in flight; a second call changes nothing. */
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

/** What stands in the queue and in flight, for operators. */
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

/** Reads the state for operators. */
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

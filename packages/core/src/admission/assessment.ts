/** Who asks, and whether the answer can be in time as far as can be told. */
import type {Customer, Ticket} from './records.js';
import * as forecasts from './forecast.js';
import type {ServiceTime} from './service-time.js';
import * as slowdowns from './slowdown.js';
import type {AdmissionState} from './state.js';
import * as states from './state.js';
import type {AdmissionRequest} from './types.js';

/** One request on its way in. */
export type OfferedRequest = {
	readonly request: AdmissionRequest;
	readonly customer: Customer;
	readonly classIndex: number;
	readonly estimate: ServiceTime;
	/** Time that the entry has from now until it must have answered. */
	readonly allowedMs: number;
};

/** Looks up what a request brings with it. */
export const createOfferedRequest = (
	state: AdmissionState,
	request: AdmissionRequest,
	customer: Customer,
): OfferedRequest => {
	const classIndex = states.getClassIndex(request.class);
	const {answerWithinMs} = customer.terms;
	const timeoutMs = request.timeoutMs ?? answerWithinMs;
	return {
		request,
		customer,
		classIndex,
		estimate: state.estimates[classIndex]!,
		allowedMs: Math.min(answerWithinMs, timeoutMs) - state.settings.transitMs,
	};
};

/** Time before its last safe dispatch at which a request goes first. */
const getRescueMs = (state: AdmissionState, estimate: ServiceTime): number => {
	const releaseMs = estimate.meanMs / Math.max(1, state.slots);
	return state.settings.rescueReleases * releaseMs;
};

/** Creates the ticket of a request that is let in. */
export const createTicket = (
	state: AdmissionState,
	applicant: OfferedRequest,
	now: number,
): Ticket => {
	const {request, customer, classIndex, estimate} = applicant;
	const deadlineAt = now + applicant.allowedMs;
	const rescueMs = getRescueMs(state, estimate);
	const rescueAt = deadlineAt - estimate.p90Ms - rescueMs;
	return {
		request,
		customer,
		classIndex,
		arrivedAt: now,
		deadlineAt,
		giveUpAt: deadlineAt - getUsualMs(state, estimate),
		rescueAt,
		dueAt: rescueAt,
		state: 'queued',
		dispatchedAt: 0,
		chargedMs: 0,
		contracted: false,
		queue: undefined,
		queuePrevious: undefined,
		queueNext: undefined,
		wheelPrevious: undefined,
		wheelNext: undefined,
	};
};

/** What queueing would mean for a request. */
export type Assessment = {
	readonly forecast: forecasts.Forecast;
	/** Time that is missing until its deadline, 0 if none is. */
	readonly missingMs: number;
};

/** Predicts whether a queued request would be in time. */
export const assessQueueing = (
	state: AdmissionState,
	applicant: OfferedRequest,
	now: number,
): Assessment => {
	const {customer, classIndex, estimate, allowedMs} = applicant;
	const forecast = forecasts.getForecast(state, customer, classIndex, now);
	const factor = slowdowns.getServiceFactor(state.slowdown);
	const gapMs = (estimate.meanMs * factor) / Math.max(1, state.slots);
	const stall = slowdowns.getStallFactor(state.slowdown, gapMs, now);
	const neededMs = (forecast.waitMs * stall + estimate.p90Ms) * factor;
	return {forecast, missingMs: Math.max(0, neededMs - allowedMs)};
};

/** Median service time, by the latest answers. */
const getUsualMs = (state: AdmissionState, estimate: ServiceTime): number =>
	estimate.p50Ms * slowdowns.getServiceFactor(state.slowdown);

/** True if an answer by a slot given now is more likely in time than late. */
export const isLikelyInTime = (
	state: AdmissionState,
	estimate: ServiceTime,
	leftMs: number,
): boolean => leftMs > 0 && getUsualMs(state, estimate) <= leftMs;

/**
 * True if a request may try although the estimate forbids it, which is so
 * once in a while: an estimate that refuses everything would never be
 * measured anew.
 */
export const tryProbe = (
	state: AdmissionState,
	estimate: ServiceTime,
	now: number,
): boolean => {
	const due = now - estimate.lastAt >= state.settings.probeEveryMs;
	if (due) {
		estimate.lastAt = now;
	}

	return due;
};

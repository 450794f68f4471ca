/** Estimates whether an offered request can be answered before its deadline. */
import type {Customer, Ticket} from './records.js';
import * as forecasts from './forecast.js';
import type {ServiceTime} from './service-time.js';
import * as slowdowns from './slowdown.js';
import type {AdmissionState} from './state.js';
import * as states from './state.js';
import type {AdmissionRequest} from './types.js';

/** A request with its customer and the estimate of its class. */
export type OfferedRequest = {
	readonly request: AdmissionRequest;
	readonly customer: Customer;
	readonly classIndex: number;
	readonly estimate: ServiceTime;
	/** Time from now until the entry must have sent the answer. */
	readonly allowedMs: number;
};

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

/** How long before its last safe dispatch a request is moved to rescue. */
const getRescueMs = (state: AdmissionState, estimate: ServiceTime): number => {
	const releaseMs = estimate.meanMs / Math.max(1, state.slots);
	return state.settings.rescueReleases * releaseMs;
};

/** Creates the ticket of an admitted request. */
export const createTicket = (
	state: AdmissionState,
	offered: OfferedRequest,
	now: number,
): Ticket => {
	const {request, customer, classIndex, estimate} = offered;
	const deadlineAt = now + offered.allowedMs;
	const rescueMs = getRescueMs(state, estimate);
	const rescueAt = deadlineAt - estimate.p90Ms - rescueMs;
	return {
		request,
		customer,
		classIndex,
		arrivedAt: now,
		deadlineAt,
		giveUpAt: deadlineAt - getMedianMs(state, estimate),
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

/** Whether a request would be in time if it were queued. */
export type Assessment = {
	readonly forecast: forecasts.Forecast;
	/** By how much it would miss its deadline; 0 if it would be in time. */
	readonly missingMs: number;
};

export const assessQueueing = (
	state: AdmissionState,
	offered: OfferedRequest,
	now: number,
): Assessment => {
	const {customer, classIndex, estimate, allowedMs} = offered;
	const forecast = forecasts.getForecast(state, customer, classIndex, now);
	const factor = slowdowns.getServiceFactor(state.slowdown);
	const gapMs = (estimate.meanMs * factor) / Math.max(1, state.slots);
	const stall = slowdowns.getStallFactor(state.slowdown, gapMs, now);
	const neededMs = (forecast.waitMs * stall + estimate.p90Ms) * factor;
	return {forecast, missingMs: Math.max(0, neededMs - allowedMs)};
};

/** Median service time, scaled by the current slowdown. */
const getMedianMs = (state: AdmissionState, estimate: ServiceTime): number =>
	estimate.p50Ms * slowdowns.getServiceFactor(state.slowdown);

/** True if a request dispatched now is more likely in time than late. */
export const isLikelyInTime = (
	state: AdmissionState,
	estimate: ServiceTime,
	leftMs: number,
): boolean => leftMs > 0 && getMedianMs(state, estimate) <= leftMs;

/**
 * True if a request may be dispatched although its estimate exceeds the time
 * left. This is allowed every `probeEveryMs`, as an estimate that refuses all
 * requests would receive no new samples.
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

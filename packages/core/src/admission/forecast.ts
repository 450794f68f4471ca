/**
 * Predicts how long a request would wait in the fair queue.
 * Source: docs/design/admission.md.
 */
import {requestClasses} from '../types/contract.js';
import * as customers from './customer.js';
import type {Customer} from './records.js';
import type {AdmissionState} from './state.js';
import * as tokenBucket from './token-bucket.js';

/** Time constant of the moving average of slots used by contracted rates. */
export const useWindowMs = 1000;
/** Part of the contracted but unused rates that is counted as used. */
const unusedContractShare = 0.5;
/** Factor on the time to serve the whole queue, for requests above contract. */
const allBorrowMargin = 2;
/** Samples after which the cold start margin has halved. */
const coldSamples = 32;
/** Minimum number of slots assumed for requests above their contract. */
const leastBorrowSlots = 0.05;

/** Predicted queueing of a request. */
export type Forecast = {
	/** Time until it would get a slot, with the margins of the settings. */
	readonly waitMs: number;
	/** True if its customer's contracted rate covers it. */
	readonly contracted: boolean;
	/** Slots that are expected to serve its customer's queue. */
	readonly drainSlots: number;
};

/** Queued requests of the customer that are served before a new one. */
type OwnQueue = {count: number; workMs: number; overtakenMs: number};

/**
 * Counts requests of more urgent classes, including those expected to arrive
 * before the new one has aged, and less urgent ones that have already aged.
 */
const getOwnQueue = (
	state: AdmissionState,
	customer: Customer,
	classIndex: number,
	now: number,
): OwnQueue => {
	const own: OwnQueue = {count: 0, workMs: 0, overtakenMs: 0};
	const orderAt = now + customer.agingMs[classIndex]!;
	for (let index = 0; index < requestClasses.length; index++) {
		const {head, length} = customer.queues[index]!;
		if (head && head.arrivedAt + customer.agingMs[index]! <= orderAt) {
			own.count += length;
			own.workMs += length * state.estimates[index]!.meanMs;
			const gapMs = orderAt - customer.agingMs[index]! - head.arrivedAt;
			own.overtakenMs =
				index < classIndex ? Math.max(own.overtakenMs, gapMs) : own.overtakenMs;
		}
	}

	return own;
};

/** Mean slot time of the customer's queued requests. */
const getMeanWork = (state: AdmissionState, customer: Customer): number => {
	let workMs = 0;
	for (let index = 0; index < requestClasses.length; index++) {
		workMs += customer.queues[index]!.length * state.estimates[index]!.meanMs;
	}

	return workMs / customer.queued;
};

/** Work of other customers that is served before a request. */
type OtherLoad = {
	/** Slot time of contracted requests that are queued now. */
	contractMs: number;
	/** The same with requests yet to arrive, limited by customers' weights. */
	contractTurnMs: number;
	/** Total weight of customers with requests above their contracts. */
	borrowWeight: number;
	/** Slots that other customers' contracted rates use. */
	useSlots: number;
};

/**
 * Assumes that each customer with queued requests spends its tokens before the
 * request's turn, also on requests yet to arrive, within the limit of its
 * weight.
 */
const getOtherLoad = (
	state: AdmissionState,
	customer: Customer,
	ownWorkMs: number,
	now: number,
): OtherLoad => {
	const others: OtherLoad = {
		contractMs: 0,
		contractTurnMs: 0,
		borrowWeight: 0,
		useSlots: 0,
	};
	for (const other of state.active) {
		if (other === customer) {
			continue;
		}

		const {weight} = other.terms;
		const tokens = Math.floor(tokenBucket.refillTokens(other.bucket, now));
		if (tokens > 0) {
			const meanMs = getMeanWork(state, other);
			const turnMs = (ownWorkMs * weight) / customer.terms.weight + meanMs;
			const covered = Math.min(tokens, other.queued);
			others.contractMs += Math.min(covered * meanMs, turnMs);
			others.contractTurnMs += Math.min(tokens * meanMs, turnMs);
		}

		if (other.queued > tokens) {
			others.borrowWeight += weight;
		}
	}

	return others;
};

/** Slots that other customers' contracted rates use, by moving averages. */
const getOthersUse = (
	state: AdmissionState,
	customer: Customer,
	meanMs: number,
	now: number,
): number => {
	const passedMs = now - state.contractUseAt;
	const all = state.contractUse * Math.exp(-passedMs / useWindowMs);
	customers.updateContractUse(customer, 0, useWindowMs, now);
	const measured = Math.max(0, all - customer.contractUse);
	// Idle customers may use their contracted rates at any time.
	const contracted =
		(state.contractedPerMs - customer.bucket.tokensPerMs) * meanMs;
	return measured + Math.max(0, contracted - measured) * unusedContractShare;
};

/** Slots that serve the customer's queue once it is above its contract. */
const getDrainSlots = (
	state: AdmissionState,
	customer: Customer,
	meanMs: number,
	others: OtherLoad,
): number => {
	const {weight} = customer.terms;
	const freeSlots = state.slots - others.useSlots;
	const ownSlots = customer.bucket.tokensPerMs * meanMs;
	const contractSlots = Math.min(ownSlots, Math.max(0, freeSlots));
	const borrowable = Math.max(leastBorrowSlots, freeSlots - contractSlots);
	return contractSlots + (borrowable * weight) / (weight + others.borrowWeight);
};

/**
 * Upper bound of the wait if only the contracted rate served the customer: the
 * bucket refills at that rate, and requests within it go first.
 */
const getContractWait = (
	state: AdmissionState,
	customer: Customer,
	own: OwnQueue,
	others: OtherLoad,
): number => {
	const {tokens, tokensPerMs} = customer.bucket;
	const missing = Math.max(0, own.count + 1 - tokens);
	const tokenMs = missing === 0 ? 0 : missing / tokensPerMs;
	const leftSlots = Math.max(leastBorrowSlots, state.slots - others.useSlots);
	const serveMs = Math.min(
		(own.workMs + others.contractMs) / leftSlots,
		(own.workMs + others.contractTurnMs) / state.slots,
	);
	const marginMs = serveMs * state.settings.contractMargin;
	return Math.max(tokenMs + others.contractMs / state.slots, marginMs);
};

/** Slot time of everything queued. */
const getAllWork = (state: AdmissionState): number => {
	let workMs = 0;
	for (let index = 0; index < requestClasses.length; index++) {
		workMs += state.queuedByClass[index]! * state.estimates[index]!.meanMs;
	}

	return workMs;
};

/** Margin on a predicted wait that shrinks as service times are measured. */
const getColdStartMargin = (state: AdmissionState): number => {
	let samples = 0;
	for (const estimate of state.estimates) {
		samples += estimate.samples;
	}

	return 1 + coldSamples / (coldSamples + samples);
};

/** Predicts the wait of a request if it were queued now. */
export const getForecast = (
	state: AdmissionState,
	customer: Customer,
	classIndex: number,
	now: number,
): Forecast => {
	const {meanMs} = state.estimates[classIndex]!;
	const {borrowMargin, contractMargin} = state.settings;
	const tokens = tokenBucket.refillTokens(customer.bucket, now);
	const own = getOwnQueue(state, customer, classIndex, now);
	const contracted = own.count + 1 <= tokens;
	if (state.slots <= 0) {
		const waitMs = Number.POSITIVE_INFINITY;
		return {waitMs, contracted, drainSlots: leastBorrowSlots};
	}

	const others = getOtherLoad(state, customer, own.workMs, now);
	others.useSlots = getOthersUse(state, customer, meanMs, now);
	const drainSlots = getDrainSlots(state, customer, meanMs, others);
	const releaseMs = state.inFlightMs / Math.max(1, state.inFlight);
	const contractWaitMs = getContractWait(state, customer, own, others);
	const borrowWaitMs =
		(others.contractMs / state.slots + own.workMs / drainSlots) * borrowMargin;
	const allMs = getAllWork(state) / state.slots;
	const turnMs = Math.min(
		Math.max(contractWaitMs, allMs * contractMargin),
		Math.max(borrowWaitMs, allMs * allBorrowMargin),
	);
	const turnWithMarginMs = turnMs * getColdStartMargin(state);
	const waitMs =
		Math.max(own.overtakenMs, turnWithMarginMs) + releaseMs / state.slots;
	return {waitMs, contracted, drainSlots};
};

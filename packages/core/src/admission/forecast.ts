/**
 * Prediction of the time that a request would wait, in the order in which the
 * fair queue would serve it. Source: docs/design/admission.md.
 */
import {requestClasses} from '../types/contract.js';
import * as customers from './customer.js';
import type {Customer} from './records.js';
import type {AdmissionState} from './state.js';
import * as tokenBucket from './token-bucket.js';

/** Window of the moving average of slots used by contracted rates. */
export const useWindowMs = 1000;
/** Part of the sold but unused rates that is taken for used. */
const soldShare = 0.5;
/** Factor on the time for everything queued, above the contract. */
const allBorrowMargin = 2;
/** Measured service times after which half of the cold caution is gone. */
const coldSamples = 32;
/** Slots that a request above its contract can count on at least. */
const leastBorrowSlots = 0.05;

/** What a request would meet. */
export type Forecast = {
	/** Time until it would get a slot, with the margins of the settings. */
	readonly waitMs: number;
	/** True if its customer's contracted rate covers it. */
	readonly contracted: boolean;
	/** Slots that its customer can count on while it waits. */
	readonly drainSlots: number;
};

/** Queued requests of the customer that go before a new one. */
type OwnQueue = {count: number; workMs: number; overtakenMs: number};

/**
 * More urgent requests go first, also those that will arrive until the new
 * one has aged; less urgent ones only if they have aged already.
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

/** What other customers put before a request. */
type OtherLoad = {
	/** Slot time of contracted requests that are queued now. */
	contractMs: number;
	/** The same with those to come, as far as weights let them go first. */
	contractTurnMs: number;
	/** Weight of those with requests above their contracts. */
	borrowWeight: number;
	/** Slots that other customers' contracted rates use. */
	useSlots: number;
};

/**
 * A customer with queued requests uses its tokens before the request's turn,
 * also for requests yet to come, but no more than its weight gives it until
 * then.
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
	// Quiet customers may use what they were sold at any time.
	const sold = (state.contractedPerMs - customer.bucket.tokensPerMs) * meanMs;
	return measured + Math.max(0, sold - measured) * soldShare;
};

/** Slots that the customer's queue drains by, once above its contract. */
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
 * Bound on the wait by the contracted rate alone: the bucket fills at that
 * rate, and contracted requests go first.
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

/** Factor on a predicted wait as long as few service times are measured. */
const getCaution = (state: AdmissionState): number => {
	let samples = 0;
	for (const estimate of state.estimates) {
		samples += estimate.samples;
	}

	return 1 + coldSamples / (coldSamples + samples);
};

/** Predicts the wait of a request that is queued now. */
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
	const cautiousMs = turnMs * getCaution(state);
	const waitMs =
		Math.max(own.overtakenMs, cautiousMs) + releaseMs / state.slots;
	return {waitMs, contracted, drainSlots};
};

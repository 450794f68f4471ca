/**
 * Admission state of one customer: its queues by class, the token bucket of
 * its contracted rate, and its tags for start-time fair queueing (Goyal, Vin
 * and Cheng, SIGCOMM 1996).
 */
import {requestClasses} from '../types/contract.js';
import type {Customer, TicketQueue} from './records.js';
import * as ticketQueue from './ticket-queue.js';
import * as tokenBucket from './token-bucket.js';
import type {AdmissionSettings, CustomerTerms} from './types.js';

const getDepth = (settings: AdmissionSettings, tokensPerMs: number): number =>
	tokensPerMs === 0
		? 0
		: Math.max(settings.minBurst, tokensPerMs * settings.burstMs);

const getAging = (
	settings: AdmissionSettings,
	terms: CustomerTerms,
): readonly number[] =>
	requestClasses.map(
		(each) => settings.agingShare[each] * terms.answerWithinMs,
	);

/** Creates a customer; `terms` holds this entry's part of the rate. */
export const createCustomer = (
	settings: AdmissionSettings,
	terms: CustomerTerms,
	now: number,
): Customer => {
	const tokensPerMs = terms.requestsPerSecond / 1000;
	const depth = getDepth(settings, tokensPerMs);
	return {
		terms,
		removed: false,
		bucket: tokenBucket.createTokenBucket(depth, tokensPerMs, now),
		queues: requestClasses.map(() => ticketQueue.createTicketQueue()),
		agingMs: getAging(settings, terms),
		queued: 0,
		maxQueued: settings.maxQueued,
		activeIndex: -1,
		contractTag: 0,
		borrowTag: 0,
		contractUse: 0,
		contractUseAt: now,
		lastRetryAt: Number.NEGATIVE_INFINITY,
		retryPhase: 0,
	};
};

/** Applies changed terms; `terms` holds this entry's part of the rate. */
export const updateCustomer = (
	settings: AdmissionSettings,
	customer: Customer,
	terms: CustomerTerms,
	now: number,
): void => {
	const tokensPerMs = terms.requestsPerSecond / 1000;
	const depth = getDepth(settings, tokensPerMs);
	customer.terms = terms;
	customer.removed = false;
	customer.agingMs = getAging(settings, terms);
	tokenBucket.updateTokenBucket(customer.bucket, depth, tokensPerMs, now);
};

/**
 * Returns the queue whose head is next: the one with the earliest arrival plus
 * aging delay of its class. The delay lets urgent classes go first without
 * starving the others. Undefined if nothing is queued.
 */
export const getNextQueue = (customer: Customer): TicketQueue | undefined => {
	let best: TicketQueue | undefined;
	let bestAt = Number.POSITIVE_INFINITY;
	for (let index = 0; index < requestClasses.length; index++) {
		const queue = customer.queues[index]!;
		const at = queue.head
			? queue.head.arrivedAt + customer.agingMs[index]!
			: Number.POSITIVE_INFINITY;
		if (at < bestAt) {
			best = queue;
			bestAt = at;
		}
	}

	return best;
};

/**
 * Decays the moving average of busy slots to `now` and adds `workMs` of slot
 * time.
 */
export const updateContractUse = (
	customer: Customer,
	workMs: number,
	windowMs: number,
	now: number,
): void => {
	const passedMs = now - customer.contractUseAt;
	customer.contractUse *= Math.exp(-passedMs / windowMs);
	customer.contractUse += workMs / windowMs;
	customer.contractUseAt = now;
};

/** Picks the request that gets the next slot and charges its customer. */
import * as customers from './customer.js';
import {type Customer, type Ticket} from './records.js';
import type {Dispatched} from './decision.js';
import * as forecasts from './forecast.js';
import type {AdmissionState} from './state.js';
import * as tokenBucket from './token-bucket.js';

const getNextCustomer = (
	state: AdmissionState,
	now: number,
): Customer | undefined => {
	let contracted: Customer | undefined;
	let borrowing: Customer | undefined;
	for (const customer of state.active) {
		if (tokenBucket.refillTokens(customer.bucket, now) >= 1) {
			if (!contracted || customer.contractTag < contracted.contractTag) {
				contracted = customer;
			}
		} else if (!borrowing || customer.borrowTag < borrowing.borrowTag) {
			borrowing = customer;
		}
	}

	return contracted ?? borrowing;
};

/**
 * Returns the next ticket to dispatch: the first in the rescue queue, else one
 * of the customer with the lowest tag in the higher tier.
 */
export const getNextTicket = (
	state: AdmissionState,
	now: number,
): Ticket | undefined => {
	if (state.rescue.head) {
		return state.rescue.head;
	}

	const customer = getNextCustomer(state, now);
	return customer && customers.getNextQueue(customer)?.head;
};

/** Charges a dispatch to the customer's contracted rate. */
const chargeContract = (
	state: AdmissionState,
	customer: Customer,
	workMs: number,
	now: number,
): void => {
	customer.bucket.tokens -= 1;
	state.contractVirtual = Math.max(customer.contractTag, state.contractVirtual);
	customer.contractTag = state.contractVirtual + workMs / customer.terms.weight;
	const {useWindowMs} = forecasts;
	customers.updateContractUse(customer, workMs, useWindowMs, now);
	const passedMs = now - state.contractUseAt;
	state.contractUse *= Math.exp(-passedMs / useWindowMs);
	state.contractUse += workMs / useWindowMs;
	state.contractUseAt = now;
};

/** Charges a dispatch above the contracted rate to the customer's weight. */
const chargeBorrow = (
	state: AdmissionState,
	customer: Customer,
	workMs: number,
): void => {
	state.borrowVirtual = Math.max(customer.borrowTag, state.borrowVirtual);
	customer.borrowTag = state.borrowVirtual + workMs / customer.terms.weight;
};

/** Assigns a slot to a ticket that is in no queue. */
export const dispatch = (
	state: AdmissionState,
	ticket: Ticket,
	now: number,
): Dispatched => {
	const {customer} = ticket;
	const workMs = state.estimates[ticket.classIndex]!.meanMs;
	ticket.contracted = tokenBucket.refillTokens(customer.bucket, now) >= 1;
	if (ticket.contracted) {
		chargeContract(state, customer, workMs, now);
	} else {
		chargeBorrow(state, customer, workMs);
	}

	ticket.state = 'in-flight';
	ticket.dispatchedAt = now;
	ticket.chargedMs = workMs;
	state.inFlight++;
	state.inFlightMs += workMs;
	return {kind: 'dispatch', ticket};
};

/** Corrects the charge of a ticket to its measured service time. */
export const correctCharge = (ticket: Ticket, serviceMs: number): void => {
	const {customer} = ticket;
	const correction = (serviceMs - ticket.chargedMs) / customer.terms.weight;
	if (ticket.contracted) {
		customer.contractTag += correction;
	} else {
		customer.borrowTag += correction;
	}
};

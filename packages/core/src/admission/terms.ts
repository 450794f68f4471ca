/** Reads customers' terms from contracts and applies them. */
import type {Contract} from '../types/contract.js';
import * as customers from './customer.js';
import * as serviceTime from './service-time.js';
import type {AdmissionState} from './state.js';
import type {CustomerTerms} from './types.js';

/** Lists the terms of one service in a set of contracts. */
export const getTerms = (
	contracts: Iterable<Contract>,
	service: string,
): CustomerTerms[] => {
	const terms: CustomerTerms[] = [];
	for (const {customer, weight, services} of contracts) {
		const found = services.find((each) => each.service === service);
		if (found) {
			const {answerWithinMs, requestsPerSecond} = found;
			terms.push({customer, weight, answerWithinMs, requestsPerSecond});
		}
	}

	return terms;
};

/**
 * Applies the customers' terms. `share` is this entry's part of each
 * contracted rate, such as 1/9. Requests of customers not in `terms` are
 * refused from now on; those already queued stay.
 */
export const updateTerms = (
	state: AdmissionState,
	terms: readonly CustomerTerms[],
	share: number,
	now: number,
): void => {
	const {settings} = state;
	for (const customer of state.customers.values()) {
		customer.removed = true;
	}

	state.contractedPerMs = 0;
	let weights = 0;
	let shortestMs = Number.POSITIVE_INFINITY;
	for (const each of terms) {
		weights += each.weight;
		shortestMs = Math.min(shortestMs, each.answerWithinMs);
		state.contractedPerMs += (each.requestsPerSecond * share) / 1000;
		const requestsPerSecond = each.requestsPerSecond * share;
		const entryTerms = {...each, requestsPerSecond};
		const customer = state.customers.get(each.customer);
		if (customer) {
			customers.updateCustomer(settings, customer, entryTerms, now);
		} else {
			const created = customers.createCustomer(settings, entryTerms, now);
			state.customers.set(each.customer, created);
		}
	}

	if (terms.length > 0) {
		for (const estimate of state.estimates) {
			serviceTime.updatePrior(estimate, shortestMs * settings.priorShare);
		}
	}

	for (const customer of state.customers.values()) {
		const part = customer.terms.weight / weights;
		customer.maxQueued = Math.max(1, Math.floor(settings.maxQueued * part));
		if (customer.removed && customer.queued === 0) {
			state.customers.delete(customer.terms.customer);
		}
	}
};

/** What all contracts together promise of one service. */
import type {Contract, ServiceTerms} from '../types/contract.js';

/** A number and the customer whose contract sets it. */
export type ContractValue = {readonly value: number; readonly customer: string};

/**
 * The strictest terms of a service. Executors are shared by all customers,
 * so the largest `keepExecutors` and the smallest `maxAway` bind, while the
 * promised rates add up.
 */
export type ServicePromise = {
	readonly service: string;
	readonly keepExecutors: ContractValue;
	readonly maxAway: ContractValue;
	readonly answerWithinMs: ContractValue;
	readonly requestsPerSecond: number;
	/** Rate of each customer, largest first. */
	readonly rates: readonly ContractValue[];
};

/** One customer's terms of one service. */
export type CustomerTerms = ServiceTerms & {readonly customer: string};

/** Collects the terms of one service, in the order of the contracts. */
export const listServiceTerms = (
	contracts: Iterable<Contract>,
	service: string,
): readonly CustomerTerms[] => {
	const found: CustomerTerms[] = [];
	for (const {customer, services} of contracts) {
		for (const terms of services) {
			if (terms.service === service) {
				found.push({...terms, customer});
			}
		}
	}

	return found;
};

const pickBinding = (
	terms: readonly CustomerTerms[],
	getValue: (each: CustomerTerms) => number,
	isStricter: (a: number, b: number) => boolean,
): ContractValue | undefined => {
	let binding: ContractValue | undefined;
	for (const each of terms) {
		const value = getValue(each);
		if (!binding || isStricter(value, binding.value)) {
			binding = {value, customer: each.customer};
		}
	}

	return binding;
};

const isLarger = (a: number, b: number) => a > b;
const isSmaller = (a: number, b: number) => a < b;

/** Adds up a service's terms; `undefined` if no contract names it. */
export const getServicePromise = (
	contracts: Iterable<Contract>,
	service: string,
): ServicePromise | undefined => {
	const terms = listServiceTerms(contracts, service);
	const keepExecutors = pickBinding(terms, (t) => t.keepExecutors, isLarger);
	const maxAway = pickBinding(terms, (t) => t.maxAway, isSmaller);
	const answerWithinMs = pickBinding(terms, (t) => t.answerWithinMs, isSmaller);
	if (!keepExecutors || !maxAway || !answerWithinMs) {
		return undefined;
	}

	const rates = terms
		.map(({customer, requestsPerSecond: value}) => ({customer, value}))
		.toSorted((a, b) => b.value - a.value);
	return {
		service,
		keepExecutors,
		maxAway,
		answerWithinMs,
		rates,
		requestsPerSecond: rates.reduce((sum, {value}) => sum + value, 0),
	};
};

/** Executors of a service that maintenance may hold away at this size. */
export const getAwayAllowance = (
	promise: ServicePromise,
	executors: number,
): ContractValue => {
	const spare = Math.max(0, executors - promise.keepExecutors.value);
	return spare < promise.maxAway.value
		? {value: spare, customer: promise.keepExecutors.customer}
		: promise.maxAway;
};

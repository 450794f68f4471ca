/** Combined terms of all contracts for one service. */
import type {Contract, ServiceTerms} from '../types/contract.js';

/** A value and the customer whose contract sets it. */
export type ContractValue = {readonly value: number; readonly customer: string};

/**
 * The strictest terms of a service. Executors are shared by all customers, so
 * the largest `keepExecutors` and the smallest `maxAway` apply, while rates are
 * added up.
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

/** Lists the terms of one service, in the order of the contracts. */
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

const pickStrictest = (
	terms: readonly CustomerTerms[],
	getValue: (each: CustomerTerms) => number,
	isStricter: (a: number, b: number) => boolean,
): ContractValue | undefined => {
	let strictest: ContractValue | undefined;
	for (const each of terms) {
		const value = getValue(each);
		if (!strictest || isStricter(value, strictest.value)) {
			strictest = {value, customer: each.customer};
		}
	}

	return strictest;
};

const isLarger = (a: number, b: number) => a > b;
const isSmaller = (a: number, b: number) => a < b;

/** Combines a service's terms; `undefined` if no contract names it. */
export const getServicePromise = (
	contracts: Iterable<Contract>,
	service: string,
): ServicePromise | undefined => {
	const terms = listServiceTerms(contracts, service);
	const keepExecutors = pickStrictest(terms, (t) => t.keepExecutors, isLarger);
	const maxAway = pickStrictest(terms, (t) => t.maxAway, isSmaller);
	const answerWithinMs = pickStrictest(
		terms,
		(t) => t.answerWithinMs,
		isSmaller,
	);
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

/** Returns how many of a service's executors maintenance may take away. */
export const getAwayAllowance = (
	promise: ServicePromise,
	executors: number,
): ContractValue => {
	const spare = Math.max(0, executors - promise.keepExecutors.value);
	return spare < promise.maxAway.value
		? {value: spare, customer: promise.keepExecutors.customer}
		: promise.maxAway;
};

/** The terms of all contracts that name one service, combined. */
import {getServicePromise} from '../contracts/service-promise.js';
import type {Contract} from '../types/contract.js';

/** The strictest terms over all contracts, each with the customer it is from. */
export type CombinedTerms = {
	/** Executors that stay serving, at least. */
	readonly keepExecutors: number;
	/** Customer whose contract asks for `keepExecutors`; empty if none does. */
	readonly keepExecutorsFor: string;
	/** Executors that planned maintenance may hold away at once, at most. */
	readonly maxAway: number;
	/** Customer whose contract asks for `maxAway`; empty if none does. */
	readonly maxAwayFor: string;
};

/** Terms of a service that no contract names: nothing is promised. */
export const noTerms: CombinedTerms = {
	keepExecutors: 0,
	keepExecutorsFor: '',
	maxAway: Number.MAX_SAFE_INTEGER,
	maxAwayFor: '',
};

/** Combines the terms of every contract that names the service. */
export const combineTerms = (
	contracts: Iterable<Contract>,
	service: string,
): CombinedTerms => {
	const promise = getServicePromise(contracts, service);
	return promise
		? {
				keepExecutors: promise.keepExecutors.value,
				keepExecutorsFor: promise.keepExecutors.customer,
				maxAway: promise.maxAway.value,
				maxAwayFor: promise.maxAway.customer,
			}
		: noTerms;
};

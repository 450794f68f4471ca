/** Combined terms of all contracts that name one service. */
import {getServicePromise} from '../contracts/service-promise.js';
import type {Contract} from '../types/contract.js';

/**
 * The strictest terms of all contracts, each with the customer that requires
 * it.
 */
export type CombinedTerms = {
	/** Minimum number of serving executors. */
	readonly keepExecutors: number;
	/** Customer whose contract requires `keepExecutors`; empty if none does. */
	readonly keepExecutorsFor: string;
	/**
	 * Maximum number of executors that planned maintenance may hold away at once.
	 */
	readonly maxAway: number;
	/** Customer whose contract requires `maxAway`; empty if none does. */
	readonly maxAwayFor: string;
};

/** Terms of a service that no contract names: no limits. */
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

/** The terms of all contracts that name one service, combined. */
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

/** Takes the greater `keepExecutors` and the smaller `maxAway` of two. */
export const getStricterTerms = (
	one: CombinedTerms,
	other: CombinedTerms,
): CombinedTerms => {
	const keep = other.keepExecutors > one.keepExecutors ? other : one;
	const away = other.maxAway < one.maxAway ? other : one;
	return {
		keepExecutors: keep.keepExecutors,
		keepExecutorsFor: keep.keepExecutorsFor,
		maxAway: away.maxAway,
		maxAwayFor: away.maxAwayFor,
	};
};

/** Combines the terms of every contract that names the service. */
export const combineTerms = (
	contracts: Iterable<Contract>,
	service: string,
): CombinedTerms => {
	let combined = noTerms;
	for (const {customer, services} of contracts) {
		for (const terms of services) {
			if (terms.service === service) {
				combined = getStricterTerms(combined, {
					keepExecutors: terms.keepExecutors,
					keepExecutorsFor: customer,
					maxAway: terms.maxAway,
					maxAwayFor: customer,
				});
			}
		}
	}

	return combined;
};

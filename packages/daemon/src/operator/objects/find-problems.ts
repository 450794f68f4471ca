/** Checks changes of the view against the contracts. */
import * as core from '@gullstand/core';
import type {contractCheck, View, viewChange} from '@gullstand/core';

/** Terms of a customer's contract that a change would violate. */
export type ContractProblems = {
	readonly customer: string;
	readonly problems: readonly contractCheck.ContractProblem[];
};

const getProblemKeys = (view: View, customer: string): ReadonlySet<string> => {
	const contract = view.contracts.get(customer);
	const problems = contract
		? core.contractCheck.checkContract(contract, view)
		: [];
	return new Set(problems.map((problem) => JSON.stringify(problem)));
};

const findNewProblems = (
	before: View,
	after: View,
	customer: string,
): ContractProblems => {
	const contract = after.contracts.get(customer);
	const known = getProblemKeys(before, customer);
	const problems = contract
		? core.contractCheck
				.checkContract(contract, after)
				.filter((problem) => !known.has(JSON.stringify(problem)))
		: [];
	return {customer, problems};
};

/**
 * Lists the contracts that a change would violate. Terms that are violated
 * already count only for a change of that contract itself.
 */
export const findProblems = (
	view: View,
	change: viewChange.ViewChange,
): readonly ContractProblems[] => {
	const after = core.viewChange.applyChange(view, change);
	if (change.kind === 'put-contract') {
		const problems = core.contractCheck.checkContract(change.contract, after);
		const {customer} = change.contract;
		return problems.length === 0 ? [] : [{customer, problems}];
	}

	return [...after.contracts.keys()]
		.map((customer) => findNewProblems(view, after, customer))
		.filter(({problems}) => problems.length > 0);
};

/** Whether an instance may leave its pool for another, by the contracts. */
import * as core from '@gullstand/core';
import type {Instance, View} from '@gullstand/core';

/** Ids of the instances that the platform lists as live. */
export type LiveInstances = ReadonlySet<string>;

/** Why an instance may not leave its pool now. */
export type LeaveProblem = {
	readonly customer: string;
	readonly service: string;
	readonly problem: 'keep-executors' | 'max-away';
	readonly bound: number;
	readonly after: number;
};

/**
 * Executors of a pool that serve, and those that do not. One that the
 * platform does not list as live is lost: it counts as away before any plan.
 */
const countMembers = (view: View, pool: string, live?: LiveInstances) => {
	const members = [...view.instances.values()].filter(
		(each) => each.pool === pool && each.kind === 'executor',
	);
	const serving = members.filter(
		({id, state}) => state === 'serving' && (live?.has(id) ?? true),
	).length;
	return {serving, away: members.length - serving};
};

/**
 * Lists the contracts that a move out of the pool would break now. Without
 * the platform's list, no loss is counted.
 */
export const findLeaveProblems = (
	view: View,
	{pool, kind}: Instance,
	live?: LiveInstances,
): readonly LeaveProblem[] => {
	if (kind !== 'executor') {
		return [];
	}

	const {serving, away} = countMembers(view, pool, live);
	const problems: LeaveProblem[] = [];
	for (const service of view.services.values()) {
		const promise =
			service.pool === pool
				? core.servicePromise.getServicePromise(
						view.contracts.values(),
						service.name,
					)
				: undefined;
		if (promise && serving - 1 < promise.keepExecutors.value) {
			problems.push({
				customer: promise.keepExecutors.customer,
				service: service.name,
				problem: 'keep-executors',
				bound: promise.keepExecutors.value,
				after: serving - 1,
			});
		}

		if (promise && away + 1 > promise.maxAway.value) {
			problems.push({
				customer: promise.maxAway.customer,
				service: service.name,
				problem: 'max-away',
				bound: promise.maxAway.value,
				after: away + 1,
			});
		}
	}

	return problems;
};

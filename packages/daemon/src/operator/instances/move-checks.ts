/** Checks against the contracts whether an instance may leave its pool. */
import * as core from '@gullstand/core';
import type {Instance, View} from '@gullstand/core';

/** Ids of the instances that the platform lists as live. */
export type LiveInstances = ReadonlySet<string>;

/** A contract term that a move out of the pool would violate. */
export type LeaveProblem = {
	readonly customer: string;
	readonly service: string;
	readonly problem: 'keep-executors' | 'max-away';
	readonly bound: number;
	readonly after: number;
};

/**
 * Counts the serving and the other executors of a pool. An executor that the
 * platform does not list as live counts as away.
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
 * Lists the contract terms that a move out of the pool would violate. Without
 * the platform's list, all executors count as live.
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

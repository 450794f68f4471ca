/** Summary of the jobs and executors of a service, for the log of its owner. */
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {isStepReady, isWaiting, listTasks} from '../state/task.js';
import {
	countStatuses,
	describeExecutors,
	type StatusCounts,
} from './executor-report.js';

/** Current counts. */
export type OwnerOverview = {
	readonly openJobs: number;
	/** Tasks of ready steps that do not run. */
	readonly waitingTasks: number;
	/** Those of them that an earlier owner may have started somewhere. */
	readonly tasksOfUnknownPlace: number;
	readonly runs: number;
	readonly unresolvedExecutors: number;
	/** Whether the capacities of the executors were read recently. */
	readonly areListingsRecent: boolean;
	/** Executors by why they may or may not be given work. */
	readonly executors: StatusCounts;
};

/**
 * Counts the loaded jobs, runs and executors of an owner. `listedIds` are the
 * executors that the registry lists for its service.
 */
export const describeOwner = (
	owner: Owner,
	listedIds: readonly string[],
	now: number,
): OwnerOverview => {
	let waitingTasks = 0;
	let tasksOfUnknownPlace = 0;
	for (const job of owner.openJobs) {
		const waiting = [...listTasks(job)].filter(
			(task) => isWaiting(task) && isStepReady(task.step),
		);
		waitingTasks += waiting.length;
		tasksOfUnknownPlace += waiting.filter(
			(task) => !isLocationKnown(owner, task),
		).length;
	}

	const executors = [...owner.executors.values()];
	return {
		openJobs: owner.openJobs.size,
		waitingTasks,
		tasksOfUnknownPlace,
		runs: executors.reduce((sum, {runs}) => sum + runs.size, 0),
		unresolvedExecutors: owner.unresolvedExecutors.size,
		areListingsRecent: owner.areListingsRecent,
		executors: countStatuses(describeExecutors(owner, listedIds, now)),
	};
};

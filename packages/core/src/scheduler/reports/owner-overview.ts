/** Summary of the jobs and executors of a service, for the log of its owner. */
import {getReadiness, type Readiness} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {isStepReady, isWaiting, listTasks} from '../state/task.js';

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
	readonly executors: Readonly<Partial<Record<Readiness, number>>>;
};

const countReadiness = (
	owner: Owner,
	now: number,
): Readonly<Partial<Record<Readiness, number>>> => {
	const counts: Partial<Record<Readiness, number>> = {};
	for (const executor of owner.executors.values()) {
		const readiness = getReadiness(executor, now);
		counts[readiness] = (counts[readiness] ?? 0) + 1;
	}

	return counts;
};

/** Counts the loaded jobs, runs and executors of an owner. */
export const describeOwner = (owner: Owner, now: number): OwnerOverview => {
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
		executors: countReadiness(owner, now),
	};
};

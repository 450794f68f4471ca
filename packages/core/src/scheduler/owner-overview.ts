/** Where the work and the executors of a service stand, for its owner's log. */
import {getReadiness, type Readiness} from './executor.js';
import {isLocationKnown} from './owner.js';
import type {Owner} from './owner-state.js';
import {isStepReady, isWaiting, listTasks} from './task.js';

/** Counts of one moment. */
export type OwnerOverview = {
	readonly openJobs: number;
	/** Tasks that may start by their step and do not run. */
	readonly waitingTasks: number;
	/** Of those, tasks that an earlier owner may have started somewhere. */
	readonly tasksOfUnknownPlace: number;
	readonly runs: number;
	readonly unresolvedExecutors: number;
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

/** Counts what an owner has at hand. */
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
		executors: countReadiness(owner, now),
	};
};

/** Where the work and the executors of a service stand, for its owner's log. */
import {match, P} from 'ts-pattern';
import type {Executor} from './executor.js';
import type {Owner} from './owner.js';
import {isStepOpen, isWaiting, listTasks} from './task.js';

/** Why an executor is given no new work, or that it may be. */
export type Readiness =
	| 'usable'
	| 'unlisted'
	| 'draining'
	| 'silent'
	| 'not-adopted'
	| 'not-rostered'
	| 'strays'
	| 'evacuating'
	| 'resting';

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

/** Why an executor is given no new work; the first reason that holds. */
export const getReadiness = (executor: Executor, now: number): Readiness =>
	match(executor)
		.returnType<Readiness>()
		.with({isListed: false}, () => 'unlisted')
		.with({listed: {isDraining: true}}, () => 'draining')
		.with({silentSince: P.number}, () => 'silent')
		.with({isAdopted: false}, () => 'not-adopted')
		.with({isRostered: false}, () => 'not-rostered')
		.with({strays: P.number.positive()}, () => 'strays')
		.with({evacuation: P.nonNullable}, () => 'evacuating')
		.otherwise(({restsUntil}) => (restsUntil > now ? 'resting' : 'usable'));

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
			(task) => isWaiting(task) && isStepOpen(task.step),
		);
		waitingTasks += waiting.length;
		if (job.isInherited && owner.unresolved.size > 0) {
			tasksOfUnknownPlace += waiting.filter(
				({lastRun}) => lastRun === 0,
			).length;
		}
	}

	const executors = [...owner.executors.values()];
	return {
		openJobs: owner.openJobs.size,
		waitingTasks,
		tasksOfUnknownPlace,
		runs: executors.reduce((sum, {runs}) => sum + runs.size, 0),
		unresolvedExecutors: owner.unresolved.size,
		executors: countReadiness(owner, now),
	};
};

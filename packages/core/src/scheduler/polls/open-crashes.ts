/** Crashes that are not certain yet: what follows withdraws or confirms them. */
import type {Executor} from '../state/executor.js';
import type {EndedJob} from '../state/job-ends.js';
import type {Owner} from '../state/owner-state.js';
import {listCoscheduledTasks, type Run} from '../state/task.js';
import {isCrashSuspect} from './crash-evidence.js';
import {endSuspicion, giveUpIfAtFault} from './crash-suspects.js';

const withdrawCrash = (owner: Owner, {task, number}: Run): void => {
	for (const each of listCoscheduledTasks(task)) {
		each.crashes = each.crashes.filter(({run}) => run !== number);
	}

	owner.dirtyJobs.add(task.step.occurrence.job);
	if (!isCrashSuspect(task)) {
		endSuspicion(owner, task);
	}
};

/** What the answer to a start made of the crash that awaited it. */
export type SettledCrash = {
	readonly isWithdrawn: boolean;
	readonly jobEnds: readonly EndedJob[];
};

/**
 * Settles the crash of a start whose executor was lost before its answer came:
 * withdraws it if the start was turned away, else counts it. Returns `undefined`
 * if no crash awaits the answer.
 */
export const settleCrash = (
	owner: Owner,
	run: Run,
	isTurnedAway: boolean,
	now: number,
): SettledCrash | undefined => {
	const {task, number} = run;
	const isAwaited = task.crashes.some(
		(each) => each.run === number && each.awaitsAnswer,
	);
	if (!isAwaited) {
		return undefined;
	}

	if (isTurnedAway) {
		withdrawCrash(owner, run);
		return {isWithdrawn: true, jobEnds: []};
	}

	for (const each of listCoscheduledTasks(task)) {
		each.crashes = each.crashes.map((crash) =>
			crash.run === number ? {...crash, awaitsAnswer: undefined} : crash,
		);
	}

	return {isWithdrawn: false, jobEnds: giveUpIfAtFault(owner, task, now)};
};

/** Withdraws the crashes of an executor that lives. */
export const withdrawCrashes = (owner: Owner, executor: Executor): void => {
	for (const run of executor.possiblyCrashedBy) {
		withdrawCrash(owner, run);
	}

	executor.possiblyCrashedBy = [];
};

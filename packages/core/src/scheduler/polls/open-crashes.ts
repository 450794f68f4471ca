/** Crashes that what follows withdraws. */
import type {EndedJob} from '../state/job-ends.js';
import {markTaskDirty} from '../state/split-progress.js';
import type {Owner} from '../state/owner-state.js';
import {listCoscheduledTasks, type Run, type Task} from '../state/task.js';
import {isCrashSuspect} from './crash-evidence.js';
import {endSuspicion, giveUpIfAtFault} from './crash-suspects.js';

/** Withdraws the crash under a run. */
export const withdrawCrash = (
	owner: Owner,
	task: Task,
	number: number,
): void => {
	for (const each of listCoscheduledTasks(task)) {
		each.crashes = each.crashes.filter(({run}) => run !== number);
	}

	markTaskDirty(owner, task);
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
		withdrawCrash(owner, task, number);
		return {isWithdrawn: true, jobEnds: []};
	}

	for (const each of listCoscheduledTasks(task)) {
		each.crashes = each.crashes.map((crash) =>
			crash.run === number ? {...crash, awaitsAnswer: undefined} : crash,
		);
	}

	return {isWithdrawn: false, jobEnds: giveUpIfAtFault(owner, task, now)};
};

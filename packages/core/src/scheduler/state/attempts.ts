/**
 * Counts the failed attempts of a task. An executor lists a run end until it is
 * acknowledged, so the same end may be applied more than once, also by the next
 * owner. Failures are therefore counted by run number.
 */
import {listCoscheduledTasks, type Task} from './task.js';

/**
 * Only the latest failed runs are kept, since long-running tasks have no limit
 * on runs. Runs older than those count as counted.
 */
const wasCounted = (
	{failedRuns}: Task,
	run: number,
	maxKept: number,
): boolean => {
	const [oldest] = failedRuns;
	return (
		failedRuns.includes(run) ||
		(oldest !== undefined && failedRuns.length >= maxKept && run < oldest)
	);
};

/**
 * Counts a failed run; returns false if it was counted before. The members of a
 * gang share a run number: one run is one attempt of each member, however many
 * of them fail.
 */
export const countFailure = (task: Task, run: number): boolean => {
	const {maxAttempts} = task.step.occurrence.job.accepted.policy;
	if (wasCounted(task, run, maxAttempts)) {
		return false;
	}

	const members = listCoscheduledTasks(task);
	const isCounted = members.some((each) => wasCounted(each, run, maxAttempts));
	task.failedRuns = [...task.failedRuns, run]
		.toSorted((one, two) => one - two)
		.slice(-maxAttempts);
	for (const each of members) {
		each.failures += isCounted ? 0 : 1;
	}

	return true;
};

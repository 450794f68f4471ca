/**
 * Attempts of a task. An executor lists an end until it is acknowledged, so
 * the same end may be taken in more than once, also by the next owner: a
 * failure is counted by its run.
 */
import {listCoscheduledTasks, type Task} from './task.js';

/**
 * Runs of lasting tasks have no bound, so that only the latest are kept: runs
 * before those are taken for counted.
 */
const wasCounted = ({failedRuns}: Task, run: number, most: number): boolean => {
	const [oldest] = failedRuns;
	return (
		failedRuns.includes(run) ||
		(oldest !== undefined && failedRuns.length >= most && run < oldest)
	);
};

/**
 * Counts a run that ended as failed; false if it was counted before. Members
 * of a gang have the run's number in common: however many of them fail in one
 * run, that is one attempt of each.
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

/** Work of jobs in cpu-milliseconds, by the run times that are expected. */
import type {Owner} from '../state/owner-state.js';
import type {Job} from '../state/task.js';
import {predictIfInForce} from './model.js';

/**
 * Sums the expected work of tasks, given by their number in each step of an
 * occurrence; `undefined` while no model in force concerns them.
 */
const sumWork = (
	{runTimes}: Owner,
	{accepted: {policy, spec}}: Job,
	countTasks: (step: number) => number,
): number | undefined => {
	let sum = 0;
	let isPredicted = false;
	for (const [number, step] of spec.steps.entries()) {
		const predicted = predictIfInForce(runTimes, 'run', policy.queue, step);
		isPredicted ||= predicted !== undefined;
		const runMs = predicted?.meanMs ?? step.estimateMs;
		const cpu = Math.max(1, step.resources.cpuMillis);
		sum += countTasks(number) * cpu * Math.max(1, runMs);
	}

	return isPredicted ? sum : undefined;
};

const countRemaining = ({occurrences}: Job, number: number): number => {
	let count = 0;
	for (const {steps} of occurrences.values()) {
		const step = steps[number];
		count += step ? step.spec.count - step.doneCount : 0;
	}

	return count;
};

/** Expected work of the loaded tasks that are not done. */
export const getRemainingWork = (owner: Owner, job: Job): number =>
	(owner.runTimes.inForce > 0
		? sumWork(owner, job, (number) => countRemaining(job, number))
		: undefined) ?? job.remainingWork;

/** Expected work of one occurrence of a job. */
export const getTotalWork = (owner: Owner, job: Job): number =>
	(owner.runTimes.inForce > 0
		? sumWork(owner, job, (number) => job.accepted.spec.steps[number]!.count)
		: undefined) ?? job.totalWork;

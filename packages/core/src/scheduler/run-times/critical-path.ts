/**
 * Critical path of a job, whole and remaining, by the same estimate: a job
 * whose tasks turn out to run long has a longer objective too.
 */
import type {Owner} from '../state/owner-state.js';
import {
	isWaiting,
	type Job,
	type Run,
	type Step,
	type Task,
} from '../state/task.js';
import {
	addEstimates,
	createExactEstimate,
	maxEstimate,
	noTime,
	type RunTimeEstimate,
} from './estimate.js';
import {predictStepTime} from './model.js';
import {estimateRunTimeLeft} from './remaining.js';

/** Whole and remaining time of a step, or of a job's critical path. */
export type PathEstimate = {
	readonly total: RunTimeEstimate;
	readonly remaining: RunTimeEstimate;
};

const donePercent = 100;

const getPercent = ({isDone, runs}: Task): number =>
	isDone ? donePercent : Math.max(0, ...runs.map(({percent}) => percent));

/** Time until the last task of a step has ended, by the declared time. */
export const getDeclaredRemainingMs = ({spec, tasks}: Step): number => {
	const least = Math.min(donePercent, ...tasks.map((task) => getPercent(task)));
	return spec.estimateMs * (1 - least / donePercent);
};

const describeDeclared = (step: Step): PathEstimate => ({
	total: createExactEstimate(step.spec.estimateMs),
	remaining: createExactEstimate(getDeclaredRemainingMs(step)),
});

/** The run of a task that has come furthest. */
const findLeadingRun = ({runs}: Task): Run | undefined => {
	let leading: Run | undefined;
	for (const run of runs) {
		if (!leading || run.percent > leading.percent) {
			leading = run;
		}
	}

	return leading;
};

/** Whether a task of a step has ended or is known to run. */
const hasBegun = ({doneCount, tasks}: Step): boolean =>
	doneCount > 0 || tasks.some(({runs}) => runs.some((run) => run.observedFrom));

/** Combines what was observed of a step that has begun with predictions. */
const describeBegun = (
	step: Step,
	prediction: RunTimeEstimate,
	{
		runPrediction,
		now,
	}: {
		readonly runPrediction: RunTimeEstimate;
		readonly now: number;
	},
): PathEstimate => {
	let longest = createExactEstimate(step.longestRunMs);
	let remaining = noTime;
	let isKnown = step.measuredRuns === step.doneCount;
	for (const task of step.tasks) {
		const run = findLeadingRun(task);
		if (task.isDone) {
			continue;
		}

		if (!run || isWaiting(task)) {
			isKnown = false;
			remaining = maxEstimate(remaining, runPrediction);
			continue;
		}

		const left = estimateRunTimeLeft(run, runPrediction, now);
		isKnown &&= left.isObserved;
		longest = maxEstimate(longest, left.total);
		remaining = maxEstimate(remaining, left.remaining);
	}

	return {
		total: isKnown ? longest : maxEstimate(prediction, longest),
		remaining,
	};
};

const describeStep = (
	{runTimes}: Owner,
	step: Step,
	prediction: RunTimeEstimate | undefined,
	now: number,
): PathEstimate => {
	if (!prediction) {
		return describeDeclared(step);
	}

	if (step.doneCount === step.spec.count) {
		const total =
			step.longestRunMs > 0
				? createExactEstimate(step.longestRunMs)
				: prediction;
		return {total, remaining: noTime};
	}

	if (!hasBegun(step)) {
		return {total: prediction, remaining: prediction};
	}

	const runPrediction = predictStepTime(runTimes, 'run', step) ?? prediction;
	return describeBegun(step, prediction, {runPrediction, now});
};

/** Length of the path through steps that each begin after earlier ones. */
const getPath = (
	steps: readonly Step[],
	times: readonly RunTimeEstimate[],
): RunTimeEstimate => {
	const ends: RunTimeEstimate[] = [];
	let path = noTime;
	for (const [number, {spec}] of steps.entries()) {
		let begin = noTime;
		for (const earlier of spec.after) {
			begin = maxEstimate(begin, ends[earlier] ?? noTime);
		}

		const time = times[number] ?? noTime;
		const end = begin === noTime ? time : addEstimates(begin, time);
		ends.push(end);
		path = maxEstimate(path, end);
	}

	return path;
};

/**
 * Estimates the critical path of a job's first loaded occurrence; `undefined`
 * while no model of its steps is in force, so that the declared times count.
 */
export const estimateCriticalPath = (
	owner: Owner,
	job: Job,
	now: number,
): PathEstimate | undefined => {
	const {runTimes} = owner;
	const [occurrence] = job.occurrences.values();
	if (runTimes.inForce === 0 || !occurrence) {
		return undefined;
	}

	const {steps} = occurrence;
	const predictions = steps.map((step) =>
		predictStepTime(runTimes, 'step', step),
	);
	if (predictions.every((prediction) => prediction === undefined)) {
		return undefined;
	}

	const times = steps.map((step, number) =>
		describeStep(owner, step, predictions[number], now),
	);
	const total = getPath(
		steps,
		times.map((each) => each.total),
	);
	const hasStarted = times.some((each) => each.remaining !== each.total);
	const remaining = hasStarted
		? getPath(
				steps,
				times.map((each) => each.remaining),
			)
		: total;
	return {total, remaining};
};

/** Samples of run times, taken where the end of a run is applied. */
import {getRack, type Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Run, Step} from '../state/task.js';
import {
	isSampledSpec,
	predictStepTime,
	recordSample,
	type ModelChange,
} from './model.js';

/** A run that ended `done`, and where. */
export type DoneRun = {
	readonly run: Run;
	readonly executor: Executor;
	/** Receipt of the poll that listed the end. */
	readonly endedAt: number;
};

/** Where a run time lies relative to the range that was predicted for it. */
export type PredictionOutcome = 'below' | 'within' | 'above';

/** What the measurement of a run time led to, for the log and metrics. */
export type MeasuredRun = {
	/** Absent if no model of single runs was in force. */
	readonly outcome?: PredictionOutcome | undefined;
	readonly changes: readonly ModelChange[];
};

const getOutcome = (
	{runTimes}: Owner,
	step: Step,
	trueMs: number,
): PredictionOutcome | undefined => {
	const predicted = predictStepTime(runTimes, 'run', step);
	if (!predicted) {
		return undefined;
	}

	if (trueMs < predicted.lowMs) {
		return 'below';
	}

	return trueMs > predicted.highMs ? 'above' : 'within';
};

/**
 * A task takes longer on another rack than that of its input data, which is no
 * fault of the declaration.
 */
const isOnPreferredRack = (step: Step, executor: Executor): boolean =>
	step.spec.preferredRack === undefined ||
	step.spec.preferredRack === getRack(executor);

/** Adds a measured run of a step, and the step itself once all have ended. */
const addSamples = (
	{runTimes}: Owner,
	step: Step,
	trueMs: number,
): readonly ModelChange[] => {
	step.sampledRuns += 1;
	const {estimateMs: declaredMs, count} = step.spec;
	const ofRun = recordSample(runTimes, step, 'run', {
		declaredMs,
		trueMs,
		driftWeight: 1 / count,
	});
	const ofStep =
		step.sampledRuns === count
			? recordSample(runTimes, step, 'step', {
					declaredMs,
					trueMs: step.longestRunMs,
					driftWeight: 1,
				})
			: undefined;
	return [ofRun, ofStep].filter((change) => change !== undefined);
};

/**
 * Measures the run of a task that is about to be marked as done. Only runs
 * count that this owner saw start, from the beginning of the task; `undefined`
 * for others.
 */
export const recordRunTime = (
	owner: Owner,
	{run, executor, endedAt}: DoneRun,
): MeasuredRun | undefined => {
	const {step} = run.task;
	if (!isSampledSpec(step.spec) || !run.observedFrom?.isStart) {
		return undefined;
	}

	const trueMs = endedAt - run.observedFrom.at;
	step.longestRunMs = Math.max(step.longestRunMs, trueMs);
	step.measuredRuns += 1;
	if (!isOnPreferredRack(step, executor)) {
		return undefined;
	}

	const outcome = getOutcome(owner, step, trueMs);
	return {outcome, changes: addSamples(owner, step, trueMs)};
};

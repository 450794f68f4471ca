/** Samples of run times, taken where the end of a run is applied. */
import {getRack, type Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Run, Step} from '../state/task.js';
import {isSampledSpec, recordSample, type ModelChange} from './model.js';

/** A run that ended `done`, and where. */
export type DoneRun = {
	readonly run: Run;
	readonly executor: Executor;
	/** Receipt of the poll that listed the end. */
	readonly endedAt: number;
};

/**
 * A task takes longer on another rack than that of its input data, which is no
 * fault of the declaration.
 */
const isOnPreferredRack = (step: Step, executor: Executor): boolean =>
	step.spec.preferredRack === undefined ||
	step.spec.preferredRack === getRack(executor);

/**
 * Records the run time of a task that is about to be marked as done. Counts
 * only runs that this owner saw start, from the beginning of the task. Returns
 * the models that came into force or went out of it.
 */
export const recordRunTime = (
	{runTimes}: Owner,
	{run, executor, endedAt}: DoneRun,
): readonly ModelChange[] => {
	const {step} = run.task;
	const {spec} = step;
	if (!isSampledSpec(spec) || !run.observedFrom?.isStart) {
		return [];
	}

	const trueMs = endedAt - run.observedFrom.at;
	step.longestRunMs = Math.max(step.longestRunMs, trueMs);
	step.measuredRuns += 1;
	if (!isOnPreferredRack(step, executor)) {
		return [];
	}

	step.sampledRuns += 1;
	const {estimateMs: declaredMs, count} = spec;
	const changes = [
		recordSample(runTimes, step, 'run', {
			declaredMs,
			trueMs,
			driftWeight: 1 / count,
		}),
	];
	if (step.sampledRuns === count) {
		const sample = {declaredMs, trueMs: step.longestRunMs, driftWeight: 1};
		changes.push(recordSample(runTimes, step, 'step', sample));
	}

	return changes.filter((change) => change !== undefined);
};

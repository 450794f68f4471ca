/** Remaining time of runs, from their own progress or from a prediction. */
import type {ObservedStart, Run} from '../state/task.js';
import {
	addEstimates,
	createExactEstimate,
	mapEstimate,
	type RunTimeEstimate,
} from './estimate.js';

const donePercent = 100;

/** Progress from which on a run's own progress shows its remaining time. */
const minProgressPercent = 5;

/** A run without new progress has at least this part of its time left. */
const minRemainingShare = 0.25;

/** Time that a run has taken and still takes. */
export type RunTimeLeft = {
	readonly total: RunTimeEstimate;
	readonly remaining: RunTimeEstimate;
	/** Whether the run's own progress, from its start, shows its total time. */
	readonly isObserved: boolean;
};

type ObservedRun = Pick<Run, 'percent' | 'progressedAt' | 'observedFrom'>;

/**
 * Remaining time by a run's own progress; `undefined` before it shows any. The
 * time since the last poll that showed progress counts as run time: polls are
 * up to 250 ms apart, which is a quarter of a short run.
 */
const extrapolate = (
	{percent, progressedAt, observedFrom}: ObservedRun,
	now: number,
): number | undefined => {
	if (!observedFrom) {
		return undefined;
	}

	const progress = percent - observedFrom.percent;
	const progressMs = progressedAt - observedFrom.at;
	if (progress < minProgressPercent || progressMs <= 0) {
		return undefined;
	}

	const leftMs = (progressMs / progress) * (donePercent - percent);
	const sinceMs = Math.max(0, now - progressedAt);
	return Math.max(leftMs - sinceMs, minRemainingShare * leftMs);
};

/** Remaining time of a run that shows no progress yet. */
const predictRemaining = (
	observedFrom: ObservedStart,
	predicted: RunTimeEstimate,
	elapsedMs: number,
): RunTimeEstimate => {
	const share = 1 - observedFrom.percent / donePercent;
	return mapEstimate(predicted, (ms) =>
		Math.max(share * ms - elapsedMs, share * ms * minRemainingShare),
	);
};

/**
 * Estimates a run from its progress since this owner first observed it, or else
 * from the predicted time of a whole run. A run that began from a checkpoint or
 * under an earlier owner is first observed with some progress.
 */
export const estimateRunTimeLeft = (
	run: ObservedRun,
	predicted: RunTimeEstimate,
	now: number,
): RunTimeLeft => {
	const {observedFrom} = run;
	if (!observedFrom) {
		return {total: predicted, remaining: predicted, isObserved: false};
	}

	const elapsedMs = Math.max(0, now - observedFrom.at);
	const ownMs = extrapolate(run, now);
	const remaining =
		ownMs === undefined
			? predictRemaining(observedFrom, predicted, elapsedMs)
			: createExactEstimate(ownMs);
	return {
		total: addEstimates(createExactEstimate(elapsedMs), remaining),
		remaining,
		isObserved: observedFrom.isStart && ownMs !== undefined,
	};
};

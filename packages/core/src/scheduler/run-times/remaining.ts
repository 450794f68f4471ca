/** Remaining time of runs, from their own progress or from a prediction. */
import type {Run} from '../state/task.js';
import {
	addEstimates,
	createExactEstimate,
	mapEstimate,
	type RunTimeEstimate,
} from './estimate.js';

const donePercent = 100;

/** Progress from which on a run's own progress shows its remaining time. */
const minProgressPercent = 5;

/** A run that shows no progress has at least this part of its time left. */
const minRemainingShare = 0.25;

/** Time that a run has taken and still takes. */
export type RunTimeLeft = {
	readonly total: RunTimeEstimate;
	readonly remaining: RunTimeEstimate;
	/** Whether both come from the run's own progress. */
	readonly isObserved: boolean;
};

/**
 * Estimates a run from its progress since this owner first observed it, or else
 * from the predicted time of a whole run. A run that began from a checkpoint or
 * under an earlier owner is first observed with some progress.
 */
export const estimateRunTimeLeft = (
	{percent, observedFrom}: Pick<Run, 'percent' | 'observedFrom'>,
	predicted: RunTimeEstimate,
	now: number,
): RunTimeLeft => {
	if (!observedFrom) {
		return {total: predicted, remaining: predicted, isObserved: false};
	}

	const elapsedMs = Math.max(0, now - observedFrom.at);
	const progress = percent - observedFrom.percent;
	if (progress >= minProgressPercent && elapsedMs > 0) {
		const msPerPercent = elapsedMs / progress;
		const left = donePercent - percent;
		return {
			total: createExactEstimate(
				msPerPercent * (donePercent - observedFrom.percent),
			),
			remaining: createExactEstimate(msPerPercent * left),
			isObserved: true,
		};
	}

	const share = 1 - observedFrom.percent / donePercent;
	const remaining = mapEstimate(predicted, (ms) =>
		Math.max(share * ms - elapsedMs, share * ms * minRemainingShare),
	);
	return {
		total: addEstimates(createExactEstimate(elapsedMs), remaining),
		remaining,
		isObserved: false,
	};
};

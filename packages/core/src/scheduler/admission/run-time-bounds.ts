/**
 * Bounds on the run times of a job by its declared times. The true times of most
 * steps lie within them. Learned run times are not used, since a rejection must
 * hold even while they follow a change of behaviour.
 */
import {getCriticalPathMs, lateUntilFactor} from '../ranking/rank.js';
import type {AcceptedJob, StepSpec} from '../state/types.js';

/**
 * Ratio of declared to true run time, or its inverse, that counts as possible.
 * The median ratio of a critical path is 1.5 to 1.9 by queue, its p90 3.4 to 6.
 */
const declaredErrorFactor = 3;

/** Lowest run time of a task, in milliseconds. */
export const getLowTaskMs = ({
	estimateMs,
}: Pick<StepSpec, 'estimateMs'>): number => estimateMs / declaredErrorFactor;

/** Lowest time from the first start of a job to its end, in milliseconds. */
export const getLowPathMs = (job: AcceptedJob): number =>
	getCriticalPathMs(job) / declaredErrorFactor;

/** Lowest work of a job, in cpu-milliseconds. */
export const getLowWork = ({spec: {steps}}: AcceptedJob): number =>
	steps
		.filter(({fillsIdleCapacity}) => !fillsIdleCapacity)
		.map((step) => step.count * step.resources.cpuMillis * getLowTaskMs(step))
		.reduce((sum, work) => sum + work, 0);

/**
 * Time after its submission until which a job may still have a value, by the
 * high estimate of its objective, in milliseconds.
 */
export const getHighUsefulMs = (job: AcceptedJob): number => {
	const {stretch, targetLatencyMs} = job.policy;
	const highPathMs = getCriticalPathMs(job) * declaredErrorFactor;
	return lateUntilFactor * (stretch * highPathMs + targetLatencyMs);
};

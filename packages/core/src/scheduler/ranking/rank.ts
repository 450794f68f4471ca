/**
 * Ranks the jobs of one service: long-running jobs first, then jobs that can
 * still meet their objective, then late ones, then those that a team submitted
 * beyond its rate. Within each group, jobs are
 * ordered by priority and then by value per unit of remaining work. Source:
 * docs/design/platform-programs.md.
 */
import {
	estimateCriticalPath,
	getDeclaredRemainingMs,
	type PathEstimate,
} from '../run-times/critical-path.js';
import {
	createExactEstimate,
	mapEstimate,
	type RunTimeEstimate,
} from '../run-times/estimate.js';
import {getRemainingWork, getTotalWork} from '../run-times/work.js';
import type {Owner} from '../state/owner-state.js';
import {isLongRunningJob, type Job, type Step} from '../state/task.js';
import type {AcceptedJob} from '../state/types.js';

/** A late job loses its value after this multiple of its objective. */
export const lateUntilFactor = 3;

/** Share of a job's value that does not depend on its size. */
const fixedValueShare = 0.3;

/** Whether a job is expected to meet its objective. */
export type Timeliness =
	'lasting' | 'in-time' | 'late' | 'beyond-rate' | 'worthless';

const timelinessOrder: Readonly<Record<Timeliness, number>> = {
	lasting: 0,
	'in-time': 1,
	late: 2,
	'beyond-rate': 3,
	worthless: 4,
};

/** Length of the critical path through the given steps. */
const getPathMs = (
	steps: ReadonlyArray<Pick<Step, 'spec'>>,
	getMs: (number: number) => number,
): number => {
	const ends: number[] = [];
	for (const [number, {spec}] of steps.entries()) {
		const begin = Math.max(0, ...spec.after.map((each) => ends[each] ?? 0));
		ends.push(begin + getMs(number));
	}

	return Math.max(0, ...ends);
};

const getDeclaredRemainingPathMs = (job: Job): number => {
	const [occurrence] = job.occurrences.values();
	const steps = occurrence?.steps ?? [];
	return getPathMs(steps, (number) => {
		const step = steps[number];
		return step ? getDeclaredRemainingMs(step) : 0;
	});
};

/** Critical path through the steps of a job by its estimates, in milliseconds. */
export const getCriticalPathMs = ({spec: {steps}}: AcceptedJob): number =>
	getPathMs(
		steps.map((each) => ({spec: each})),
		(number) => steps[number]?.estimateMs ?? 0,
	);

const computeObjectiveMs = (accepted: AcceptedJob): number =>
	accepted.policy.stretch * getCriticalPathMs(accepted) +
	accepted.policy.targetLatencyMs;

/** Cache: the declared objective of a job never changes. */
const declaredObjectives = new WeakMap<AcceptedJob, number>();

const getDeclaredObjectiveMs = ({accepted}: Job): number => {
	const objectiveMs =
		declaredObjectives.get(accepted) ?? computeObjectiveMs(accepted);
	declaredObjectives.set(accepted, objectiveMs);
	return objectiveMs;
};

const toObjective = (job: Job, path: PathEstimate | undefined) => {
	const {stretch, targetLatencyMs} = job.accepted.policy;
	return path
		? mapEstimate(path.total, (ms) => stretch * ms + targetLatencyMs)
		: createExactEstimate(getDeclaredObjectiveMs(job));
};

const toRemaining = (job: Job, path: PathEstimate | undefined) =>
	path?.remaining ?? createExactEstimate(getDeclaredRemainingPathMs(job));

/** Estimates the latency objective of a job. */
export const estimateObjective = (
	owner: Owner,
	job: Job,
	now: number,
): RunTimeEstimate => toObjective(job, estimateCriticalPath(owner, job, now));

/** Returns the typical latency objective of a job, in milliseconds. */
export const getObjectiveMs = (owner: Owner, job: Job, now: number): number =>
	estimateObjective(owner, job, now).typicalMs;

/** Estimates the remaining critical path of the first loaded occurrence. */
export const estimateRemainingCriticalPath = (
	owner: Owner,
	job: Job,
	now: number,
): RunTimeEstimate => toRemaining(job, estimateCriticalPath(owner, job, now));

/** Typical remaining critical path of the first loaded occurrence, in ms. */
export const getRemainingCriticalPathMs = (
	owner: Owner,
	job: Job,
	now: number,
): number => estimateRemainingCriticalPath(owner, job, now).typicalMs;

const getStart = ({accepted}: Job, number: number): number =>
	accepted.spec.schedule
		? accepted.spec.schedule.startAtEpochMs +
			number * accepted.spec.schedule.intervalMs
		: accepted.acceptedAtEpochMs;

/** Compares a job's expected latency with the given time of its objective. */
const compareWithObjective = (
	job: Job,
	expectedMs: number,
	objectiveMs: number,
): Timeliness => {
	if (job.isBeyondRate && expectedMs <= objectiveMs * lateUntilFactor) {
		return 'beyond-rate';
	}

	if (expectedMs <= objectiveMs) {
		return 'in-time';
	}

	return expectedMs <= objectiveMs * lateUntilFactor ? 'late' : 'worthless';
};

/** Present time by the local clock and by the wall clock. */
export type PresentTimes = {readonly now: number; readonly epochNow: number};

const judge = (
	owner: Owner,
	job: Job,
	{now, epochNow}: PresentTimes,
	time: keyof RunTimeEstimate,
): Timeliness => {
	if (isLongRunningJob(job)) {
		return 'lasting';
	}

	const [occurrence] = job.occurrences.values();
	const path = estimateCriticalPath(owner, job, now);
	const expectedMs =
		epochNow -
		getStart(job, occurrence?.number ?? 0) +
		toRemaining(job, path).typicalMs;
	return compareWithObjective(job, expectedMs, toObjective(job, path)[time]);
};

/** Whether a job is expected to meet its typical objective. */
export const getTimeliness = (
	owner: Owner,
	job: Job,
	times: PresentTimes,
): Timeliness => judge(owner, job, times, 'typicalMs');

/**
 * Whether a job can no longer meet its objective, by the high estimate of it,
 * or need not meet it as it is beyond the rate of its team. A job that only
 * seems late because its tasks run longer than predicted still needs capacity.
 */
export const isLate = (
	owner: Owner,
	job: Job,
	times: PresentTimes,
): boolean => {
	const timeliness = judge(owner, job, times, 'highMs');
	return timeliness !== 'lasting' && timeliness !== 'in-time';
};

/** Remaining work per unit of value; lower is better. */
const getWorkPerValue = (owner: Owner, job: Job): number => {
	const mean = owner.meanWork.get(job.accepted.policy.queue);
	const meanWork = mean && mean.count > 0 ? mean.sum / mean.count : 1;
	const value =
		fixedValueShare +
		(1 - fixedValueShare) * (getTotalWork(owner, job) / meanWork);
	return getRemainingWork(owner, job) / value;
};

/** A job with the criteria by which it is ranked. */
export type RankedJob = {
	readonly job: Job;
	readonly timeliness: Timeliness;
	readonly workPerValue: number;
};

const compare = (one: RankedJob, two: RankedJob): number => {
	const first = one.job.accepted.policy;
	const second = two.job.accepted.policy;
	return (
		timelinessOrder[one.timeliness] - timelinessOrder[two.timeliness] ||
		first.priority - second.priority ||
		one.workPerValue - two.workPerValue ||
		one.job.accepted.acceptedAtEpochMs - two.job.accepted.acceptedAtEpochMs
	);
};

/** Lists the open jobs, the one to serve first in front. */
export const rankJobs = (
	owner: Owner,
	times: PresentTimes,
): readonly RankedJob[] =>
	[...owner.openJobs]
		.map((job) => ({
			job,
			timeliness: getTimeliness(owner, job, times),
			workPerValue: getWorkPerValue(owner, job),
		}))
		.toSorted(compare);

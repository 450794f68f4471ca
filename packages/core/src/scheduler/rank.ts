/**
 * Order of the jobs of one service. What can still meet its objective goes
 * before what is late, and among those the job with the most value for the
 * work that is left. Source: docs/design/platform-programs.md.
 */
import type {Owner} from './owner-state.js';
import {isLongRunningJob, type Job, type Step, type Task} from './task.js';
import type {AcceptedJob} from './types.js';

/** Times the objective up to which a late answer is still worth something. */
const lateUntilFactor = 3;

/** Value of a job that does not depend on its size, as a share. */
const fixedValueShare = 0.3;

/** Where a job stands against its objective. */
type Timeliness = 'lasting' | 'in-time' | 'late' | 'worthless';

const standingOrder: Readonly<Record<Timeliness, number>> = {
	lasting: 0,
	'in-time': 1,
	late: 2,
	worthless: 3,
};

/** Longest chain of estimated run time through the given steps. */
const getChainMs = (
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

const whollyDone = 100;

const getPercent = ({isDone, runs}: Task): number =>
	isDone ? whollyDone : Math.max(0, ...runs.map(({percent}) => percent));

/** Estimated time until the last task of a step has ended. */
const getStepRestMs = ({spec, tasks}: Step): number => {
	const least = Math.min(whollyDone, ...tasks.map((task) => getPercent(task)));
	return spec.estimateMs * (1 - least / whollyDone);
};

/** Estimated time that the occurrence in hand still takes, in milliseconds. */
export const getRemainingCriticalPathMs = (job: Job): number => {
	const [occurrence] = job.occurrences.values();
	const steps = occurrence?.steps ?? [];
	return getChainMs(steps, (number) => {
		const step = steps[number];
		return step ? getStepRestMs(step) : 0;
	});
};

/** Estimated time of the longest chain of steps, in milliseconds. */
export const getCriticalPathMs = ({spec: {steps}}: AcceptedJob): number =>
	getChainMs(
		steps.map((each) => ({spec: each})),
		(number) => steps[number]?.estimateMs ?? 0,
	);

const computeObjectiveMs = (accepted: AcceptedJob): number =>
	accepted.policy.stretch * getCriticalPathMs(accepted) +
	accepted.policy.targetLatencyMs;

/** Never changes, and is asked for each open job in each plan. */
const objectives = new WeakMap<AcceptedJob, number>();

/** Time within which a job is wanted, from its acceptance. */
export const getObjectiveMs = ({accepted}: Job): number => {
	const known = objectives.get(accepted) ?? computeObjectiveMs(accepted);
	objectives.set(accepted, known);
	return known;
};

const getStart = ({accepted}: Job, number: number): number =>
	accepted.spec.schedule
		? accepted.spec.schedule.startAtEpochMs +
			number * accepted.spec.schedule.intervalMs
		: accepted.acceptedAtEpochMs;

const getStanding = (job: Job, epochNow: number): Timeliness => {
	if (isLongRunningJob(job)) {
		return 'lasting';
	}

	const [occurrence] = job.occurrences.values();
	const objective = getObjectiveMs(job);
	const expected =
		epochNow -
		getStart(job, occurrence?.number ?? 0) +
		getRemainingCriticalPathMs(job);
	if (expected <= objective) {
		return 'in-time';
	}

	return expected <= objective * lateUntilFactor ? 'late' : 'worthless';
};

/** Whether a job can't meet its objective any more, by the estimates. */
export const isLate = (job: Job, epochNow: number): boolean => {
	const standing = getStanding(job, epochNow);
	return standing === 'late' || standing === 'worthless';
};

/** Work left for each unit of value; less is better. */
const getWorkPerValue = (owner: Owner, job: Job): number => {
	const mean = owner.meanWork.get(job.accepted.policy.queue);
	const meanWork = mean && mean.count > 0 ? mean.sum / mean.count : 1;
	const value =
		fixedValueShare + (1 - fixedValueShare) * (job.totalWork / meanWork);
	return job.remainingWork / value;
};

/** One job in the order of work. */
export type RankedJob = {
	readonly job: Job;
	readonly timeliness: Timeliness;
	readonly workPerValue: number;
};

const compare = (one: RankedJob, two: RankedJob): number => {
	const first = one.job.accepted.policy;
	const second = two.job.accepted.policy;
	return (
		standingOrder[one.timeliness] - standingOrder[two.timeliness] ||
		first.priority - second.priority ||
		one.workPerValue - two.workPerValue ||
		one.job.accepted.acceptedAtEpochMs - two.job.accepted.acceptedAtEpochMs
	);
};

/** Open jobs, the one to serve first in front. */
export const rankJobs = (
	owner: Owner,
	epochNow: number,
): readonly RankedJob[] =>
	[...owner.openJobs]
		.map((job) => ({
			job,
			timeliness: getStanding(job, epochNow),
			workPerValue: getWorkPerValue(owner, job),
		}))
		.toSorted(compare);

/**
 * Ranks the jobs of one service: long-running jobs first, then jobs that can
 * still meet their objective, then late ones, then those that a team submitted
 * beyond its rate. Within each group, jobs are
 * ordered by priority and then by value per unit of remaining work. Source:
 * docs/design/platform-programs.md.
 */
import type {Owner} from '../state/owner-state.js';
import {
	isLongRunningJob,
	type Job,
	type Step,
	type Task,
} from '../state/task.js';
import type {AcceptedJob} from '../state/types.js';

/** A late job loses its value after this multiple of its objective. */
export const lateUntilFactor = 3;

/** Share of a job's value that does not depend on its size. */
const fixedValueShare = 0.3;

/** Whether a job is expected to meet its objective. */
type Timeliness = 'lasting' | 'in-time' | 'late' | 'beyond-rate' | 'worthless';

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

const donePercent = 100;

const getPercent = ({isDone, runs}: Task): number =>
	isDone ? donePercent : Math.max(0, ...runs.map(({percent}) => percent));

/** Estimated time until the last task of a step has ended. */
const getRemainingStepMs = ({spec, tasks}: Step): number => {
	const least = Math.min(donePercent, ...tasks.map((task) => getPercent(task)));
	return spec.estimateMs * (1 - least / donePercent);
};

/** Remaining critical path of the first loaded occurrence, in milliseconds. */
export const getRemainingCriticalPathMs = (job: Job): number => {
	const [occurrence] = job.occurrences.values();
	const steps = occurrence?.steps ?? [];
	return getPathMs(steps, (number) => {
		const step = steps[number];
		return step ? getRemainingStepMs(step) : 0;
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

/** Cache: the objective of a job never changes, and every plan needs it. */
const objectives = new WeakMap<AcceptedJob, number>();

/** Returns the latency objective of a job, in milliseconds. */
export const getObjectiveMs = ({accepted}: Job): number => {
	const objectiveMs = objectives.get(accepted) ?? computeObjectiveMs(accepted);
	objectives.set(accepted, objectiveMs);
	return objectiveMs;
};

const getStart = ({accepted}: Job, number: number): number =>
	accepted.spec.schedule
		? accepted.spec.schedule.startAtEpochMs +
			number * accepted.spec.schedule.intervalMs
		: accepted.acceptedAtEpochMs;

const getTimeliness = (job: Job, epochNow: number): Timeliness => {
	if (isLongRunningJob(job)) {
		return 'lasting';
	}

	const [occurrence] = job.occurrences.values();
	const objective = getObjectiveMs(job);
	const expected =
		epochNow -
		getStart(job, occurrence?.number ?? 0) +
		getRemainingCriticalPathMs(job);
	if (job.isBeyondRate && expected <= objective * lateUntilFactor) {
		return 'beyond-rate';
	}

	if (expected <= objective) {
		return 'in-time';
	}

	return expected <= objective * lateUntilFactor ? 'late' : 'worthless';
};

/**
 * Whether a job can no longer meet its objective, by the estimates, or need not
 * meet it as it is beyond the rate of its team.
 */
export const isLate = (job: Job, epochNow: number): boolean => {
	const timeliness = getTimeliness(job, epochNow);
	return timeliness !== 'lasting' && timeliness !== 'in-time';
};

/** Remaining work per unit of value; lower is better. */
const getWorkPerValue = (owner: Owner, job: Job): number => {
	const mean = owner.meanWork.get(job.accepted.policy.queue);
	const meanWork = mean && mean.count > 0 ? mean.sum / mean.count : 1;
	const value =
		fixedValueShare + (1 - fixedValueShare) * (job.totalWork / meanWork);
	return job.remainingWork / value;
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
	epochNow: number,
): readonly RankedJob[] =>
	[...owner.openJobs]
		.map((job) => ({
			job,
			timeliness: getTimeliness(job, epochNow),
			workPerValue: getWorkPerValue(owner, job),
		}))
		.toSorted(compare);

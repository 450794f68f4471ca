/**
 * Splits the time of a job into phases and determines why a job missed its
 * objective: the phase that took the most time beyond the work itself.
 */
import {match} from 'ts-pattern';
import type {
	LoggedJob,
	LoggedJobs,
	LoggedRun,
	TimeInterval,
} from './read-jobs.js';

/** Consecutive phases of a job, in milliseconds. */
export type JobPhases = {
	/**
	 * From the first submit call to the acceptance, including refused calls.
	 */
	readonly accept: number;
	/** From the acceptance until its owner had the job. */
	readonly tell: number;
	/** From then until its first task ran. */
	readonly firstStart: number;
	/** While at least one task ran. */
	readonly running: number;
	/** Between runs, while no task ran. */
	readonly between: number;
	/** From the end of its last task until the job end was stored. */
	readonly store: number;
};

/** Reasons why jobs miss their objectives, as shown to operators. */
export const missCauses = {
	refused: 'refused, or abandoned before it was accepted',
	acceptedLate: 'accepted late',
	toldLate: 'its owner was notified late',
	noOwner: 'its service was taken over before its first start',
	unknownPlace: 'an executor of the previous owner was suspected',
	barredMoves: 'no room while machines could not be moved',
	noRoom: 'no room for its first task',
	betweenSteps: 'no room between its steps',
	repeated: 'tasks ran more than once',
	slow: 'tasks of one step ran one after another',
	storedLate: 'its end was stored late',
	unfinished: 'not finished',
} as const;

/** Reason why a job missed its objective. */
export type MissCause = keyof typeof missCauses;

const mergeRuns = (runs: readonly TimeInterval[]): readonly TimeInterval[] => {
	const merged: TimeInterval[] = [];
	for (const run of runs.toSorted((one, two) => one.from - two.from)) {
		const last = merged.at(-1);
		if (last && run.from <= last.to) {
			merged[merged.length - 1] = {...last, to: Math.max(last.to, run.to)};
		} else {
			merged.push(run);
		}
	}

	return merged;
};

const sumMs = (intervals: readonly TimeInterval[]): number =>
	intervals.reduce((sum, {from, to}) => sum + to - from, 0);

/**
 * Computes the phases of a job so far; phases that it has not reached are 0.
 */
export const getPhases = (job: LoggedJob): JobPhases => {
	const submittedAt = job.submittedAt ?? job.ownerAcceptedAt ?? 0;
	const acceptedAt = job.acceptedAt ?? job.ownerAcceptedAt ?? submittedAt;
	const ownerAcceptedAt = job.ownerAcceptedAt ?? acceptedAt;
	const runs = mergeRuns(job.runs);
	const firstAt = runs[0]?.from ?? ownerAcceptedAt;
	const lastAt = runs.at(-1)?.to ?? firstAt;
	const running = sumMs(runs);
	return {
		accept: acceptedAt - submittedAt,
		tell: Math.max(0, ownerAcceptedAt - acceptedAt),
		firstStart: firstAt - Math.max(ownerAcceptedAt, acceptedAt),
		running,
		between: lastAt - firstAt - running,
		store: Math.max(0, (job.endedAt ?? lastAt) - lastAt),
	};
};

const getDurationMs = (job: LoggedJob): number | undefined =>
	job.endedAt === undefined
		? undefined
		: job.endedAt - (job.submittedAt ?? job.ownerAcceptedAt ?? job.endedAt);

/**
 * The runs that count as work. The failed runs of a job that cannot be done are
 * its work: nothing else shows that it fails.
 */
const listWorkRuns = ({runs, end}: LoggedJob): readonly LoggedRun[] =>
	runs.filter(
		({isDone, hasFailed}) => isDone || (end === 'failed' && hasFailed),
	);

/**
 * Time of the work itself, in milliseconds: the sum over all steps of the
 * longest task, or the caller's estimate if there is no work yet.
 */
export const getCriticalPathMs = (job: LoggedJob): number => {
	const byTask = new Map<string, {step: number; workMs: number}>();
	for (const {task, step, from, to} of listWorkRuns(job)) {
		const workMs = (byTask.get(task)?.workMs ?? 0) + to - from;
		byTask.set(task, {step, workMs});
	}

	const longest = new Map<number, number>();
	for (const {step, workMs} of byTask.values()) {
		longest.set(step, Math.max(longest.get(step) ?? 0, workMs));
	}

	const sum = [...longest.values()].reduce((total, each) => total + each, 0);
	return sum === 0 ? job.estimatedCriticalPathMs : sum;
};

/** Time in which a job should complete, by its actual work, in milliseconds. */
export const getObjectiveMs = (job: LoggedJob): number =>
	job.stretch * getCriticalPathMs(job) + job.targetLatencyMs;

/** Whether a job completed, or failed for good, within its objective. */
export const isInTime = (job: LoggedJob): boolean =>
	(job.end === 'completed' || job.end === 'failed') &&
	(getDurationMs(job) ?? Infinity) <= getObjectiveMs(job);

const findStartCause = (
	{owners, takeovers, blockedMoves}: LoggedJobs,
	{shard}: LoggedJob,
	{from, to}: TimeInterval,
): MissCause => {
	const isWithin = (at: number) => at >= from && at <= to;
	const isHere = (each: {readonly at: number; readonly shard: string}) =>
		each.shard === shard && isWithin(each.at);
	if (owners.some((each) => isHere(each) && each.tasksOfUnknownPlace > 0)) {
		return 'unknownPlace';
	}

	if (takeovers.some((each) => isHere(each))) {
		return 'noOwner';
	}

	return blockedMoves.some((at) => isWithin(at)) ? 'barredMoves' : 'noRoom';
};

const findLongestPhase = (job: LoggedJob): keyof JobPhases => {
	const phases = getPhases(job);
	const excess = {
		...phases,
		running: Math.max(0, phases.running - getCriticalPathMs(job)),
	} satisfies JobPhases;
	const [longest] = (Object.keys(excess) as Array<keyof JobPhases>).toSorted(
		(one, two) => excess[two] - excess[one],
	);
	return longest ?? 'running';
};

/**
 * Determines why a job missed its objective; `undefined` if it did not, or if
 * its caller cancelled it.
 */
export const findMissCause = (
	all: LoggedJobs,
	job: LoggedJob,
): MissCause | undefined => {
	if (isInTime(job) || job.end === 'cancelled') {
		return undefined;
	}

	if (job.ownerAcceptedAt === undefined) {
		return 'refused';
	}

	if (job.runs.length === 0) {
		return 'unfinished';
	}

	const hasFailedRun = job.runs.some(({isDone}) => !isDone);
	const phases = getPhases(job);
	const startedAt = job.ownerAcceptedAt + phases.firstStart;
	return match(findLongestPhase(job))
		.returnType<MissCause>()
		.with('accept', () => 'acceptedLate')
		.with('tell', () => 'toldLate')
		.with('firstStart', () =>
			findStartCause(all, job, {from: job.ownerAcceptedAt ?? 0, to: startedAt}),
		)
		.with('running', () => (hasFailedRun ? 'repeated' : 'slow'))
		.with('between', () => (hasFailedRun ? 'repeated' : 'betweenSteps'))
		.with('store', () => 'storedLate')
		.exhaustive();
};

/** Shares of the requested work that missed its objective, by cause. */
export type CauseShares = Readonly<Partial<Record<MissCause, number>>>;

/** Jobs of a queue and the share of their work that missed its objective. */
export type QueueSummary = {
	readonly queue: string;
	readonly jobs: number;
	readonly inTime: number;
	/** Share of the queue's work that missed its objective, by cause. */
	readonly lost: CauseShares;
};

const summarizeQueue = (
	all: LoggedJobs,
	queue: string,
	jobs: readonly LoggedJob[],
): QueueSummary => {
	const jobsWithWork = jobs.filter(({work}) => work > 0);
	const meanWork =
		jobsWithWork.reduce((sum, {work}) => sum + work, 0) /
		Math.max(1, jobsWithWork.length);
	const lost: Partial<Record<MissCause, number>> = {};
	let totalWork = 0;
	for (const job of jobs) {
		// The work of a refused job is not logged.
		const work = job.work || meanWork || 1;
		totalWork += work;
		const cause = findMissCause(all, job);
		if (cause) {
			lost[cause] = (lost[cause] ?? 0) + work;
		}
	}

	const inTime = jobs.filter((job) => isInTime(job)).length;
	const shares = Object.entries(lost).map(([cause, work]) => [
		cause,
		work / totalWork,
	]);
	return {
		queue,
		jobs: jobs.length,
		inTime,
		lost: Object.fromEntries(shares) as QueueSummary['lost'],
	};
};

/** Summarizes each queue; jobs that no owner accepted are listed under ''. */
export const summarizeQueues = (all: LoggedJobs): readonly QueueSummary[] => {
	const queues = new Map<string, LoggedJob[]>();
	for (const job of all.jobs.values()) {
		if (!job.isLongRunning && job.end !== 'cancelled') {
			const queue = job.queue ?? '';
			queues.set(queue, [...(queues.get(queue) ?? []), job]);
		}
	}

	return [...queues]
		.toSorted(([one], [two]) => (one < two ? -1 : 1))
		.map(([queue, jobs]) => summarizeQueue(all, queue, jobs));
};

/** Sums the shares of all queues by cause, with equal weight for each queue. */
export const sumSharesByCause = (all: LoggedJobs): CauseShares => {
	const queues = summarizeQueues(all).filter(({queue}) => queue !== '');
	const shares: Partial<Record<MissCause, number>> = {};
	for (const {lost} of queues) {
		for (const [cause, share] of Object.entries(lost)) {
			const key = cause as MissCause;
			shares[key] = (shares[key] ?? 0) + share / queues.length;
		}
	}

	return shares;
};

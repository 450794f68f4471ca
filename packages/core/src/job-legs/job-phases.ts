/**
 * Where the time of a job went, leg by leg, and why one was not in time: the
 * leg that took most beyond what the work itself needs.
 */
import {match} from 'ts-pattern';
import type {LoggedJob, LoggedJobs, TimeInterval} from './read-jobs.js';

/** Legs of a job, in milliseconds, one after another. */
export type JobPhases = {
	/** From the first call to the acceptance, refused calls included. */
	readonly accept: number;
	/** Until its owner had it. */
	readonly tell: number;
	/** Until its first task ran. */
	readonly firstStart: number;
	/** While a task ran. */
	readonly running: number;
	/** Between runs, while none of its tasks ran. */
	readonly between: number;
	/** From the end of its last task until that was stored. */
	readonly store: number;
};

/** Why the value of a job was lost. */
export const missCauses = {
	refused: 'refused, or given up before it was accepted',
	acceptedLate: 'accepted late',
	toldLate: 'its owner was told late',
	noOwner: 'its service changed hands before its first start',
	unknownPlace: 'an executor of the owner before was dark',
	barredMoves: 'no room, while machines could not be moved',
	noRoom: 'no room for its first task',
	betweenSteps: 'no room between its steps',
	repeated: 'tasks ran more than once',
	slow: 'tasks of one step ran one after another',
	storedLate: 'its end was stored late',
	unfinished: 'not finished',
} as const;

/** Why the value of a job was lost. */
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

const sumMs = (stretches: readonly TimeInterval[]): number =>
	stretches.reduce((sum, {from, to}) => sum + to - from, 0);

/** The legs of a job so far; those that it has not come to are 0. */
export const getPhases = (job: LoggedJob): JobPhases => {
	const handedInAt = job.submittedAt ?? job.ownerAcceptedAt ?? 0;
	const acceptedAt = job.acceptedAt ?? job.ownerAcceptedAt ?? handedInAt;
	const takenInAt = job.ownerAcceptedAt ?? acceptedAt;
	const runs = mergeRuns(job.runs);
	const firstAt = runs[0]?.from ?? takenInAt;
	const lastAt = runs.at(-1)?.to ?? firstAt;
	const running = sumMs(runs);
	return {
		accept: acceptedAt - handedInAt,
		tell: Math.max(0, takenInAt - acceptedAt),
		firstStart: firstAt - Math.max(takenInAt, acceptedAt),
		running,
		between: lastAt - firstAt - running,
		store: Math.max(0, (job.endedAt ?? lastAt) - lastAt),
	};
};

const getTookMs = (job: LoggedJob): number | undefined =>
	job.endedAt === undefined
		? undefined
		: job.endedAt - (job.submittedAt ?? job.ownerAcceptedAt ?? job.endedAt);

/**
 * The time of the work itself: of each step the longest run that was done, one
 * step after another; by the caller's estimate while none was.
 */
export const getCriticalPathMs = ({
	runs,
	estimatedCriticalPathMs,
}: LoggedJob): number => {
	const longest = new Map<number, number>();
	for (const {step, from, to, isDone} of runs) {
		const known = longest.get(step) ?? 0;
		longest.set(step, isDone ? Math.max(known, to - from) : known);
	}

	const sum = [...longest.values()].reduce((total, each) => total + each, 0);
	return sum === 0 ? estimatedCriticalPathMs : sum;
};

/** Time within which a job was wanted, by the work that it turned out to be. */
export const getObjectiveMs = (job: LoggedJob): number =>
	job.stretch * getCriticalPathMs(job) + job.targetLatencyMs;

/** Whether a job was done within its objective. */
export const isInTime = (job: LoggedJob): boolean =>
	job.end === 'completed' &&
	(getTookMs(job) ?? Infinity) <= getObjectiveMs(job);

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

const findLongestLeg = (job: LoggedJob): keyof JobPhases => {
	const legs = getPhases(job);
	const beyond = {
		...legs,
		running: Math.max(0, legs.running - getCriticalPathMs(job)),
	} satisfies JobPhases;
	const [longest] = (Object.keys(beyond) as Array<keyof JobPhases>).toSorted(
		(one, two) => beyond[two] - beyond[one],
	);
	return longest ?? 'running';
};

/** Why a job was not in time; absent if it was, or its caller cancelled it. */
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

	const isRepeated = job.runs.some(({isDone}) => !isDone);
	const legs = getPhases(job);
	const startedAt = job.ownerAcceptedAt + legs.firstStart;
	return match(findLongestLeg(job))
		.returnType<MissCause>()
		.with('accept', () => 'acceptedLate')
		.with('tell', () => 'toldLate')
		.with('firstStart', () =>
			findStartCause(all, job, {from: job.ownerAcceptedAt ?? 0, to: startedAt}),
		)
		.with('running', () => (isRepeated ? 'repeated' : 'slow'))
		.with('between', () => (isRepeated ? 'repeated' : 'betweenSteps'))
		.with('store', () => 'storedLate')
		.exhaustive();
};

/** Shares of all work that was asked for, by the cause of its loss. */
export type CauseShares = Readonly<Partial<Record<MissCause, number>>>;

/** Jobs of a queue and what was lost of their work, by cause. */
export type QueueSummary = {
	readonly queue: string;
	readonly jobs: number;
	readonly inTime: number;
	/** Share of the queue's work, by cause. */
	readonly lost: CauseShares;
};

const sumQueue = (
	all: LoggedJobs,
	queue: string,
	jobs: readonly LoggedJob[],
): QueueSummary => {
	const known = jobs.filter(({work}) => work > 0);
	const meanWork =
		known.reduce((sum, {work}) => sum + work, 0) / Math.max(1, known.length);
	const lost: Partial<Record<MissCause, number>> = {};
	let owed = 0;
	for (const job of jobs) {
		// What a refused job asked for is not told.
		const work = job.work || meanWork || 1;
		owed += work;
		const cause = findMissCause(all, job);
		if (cause) {
			lost[cause] = (lost[cause] ?? 0) + work;
		}
	}

	const inTime = jobs.filter((job) => isInTime(job)).length;
	const shares = Object.entries(lost).map(([cause, work]) => [
		cause,
		work / owed,
	]);
	return {
		queue,
		jobs: jobs.length,
		inTime,
		lost: Object.fromEntries(shares) as QueueSummary['lost'],
	};
};

/** The ledger of each queue; jobs that no owner took in stand under ''. */
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
		.map(([queue, jobs]) => sumQueue(all, queue, jobs));
};

/** What was lost of all queues together, each weighing the same. */
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

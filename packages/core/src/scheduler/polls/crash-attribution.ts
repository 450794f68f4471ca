/**
 * Attributes crashes of executors to tasks, so that a task that crashes each
 * executor that starts it (a poison pill) is not started without limit.
 *
 * All runs that were on an executor are lost with it, and any of those that had
 * started shortly before may be the cause. Such a task is a suspect: it is next
 * started in isolation, where nothing else has started recently and nothing
 * starts beside it, so that a further crash has one cause only. A suspect that
 * outlives its probation is cleared; one whose executors crash again is given
 * up, and its job fails.
 *
 * A start that was barred is not the cause. Leases that expire on an executor
 * that the registry still lists show no crash for certain: no task is given up
 * by that, and the crash is withdrawn if the executor answers again.
 *
 * Executors are lost without a cause in what they run, too. While that is
 * frequent, the loss after a start without an answer weighs half, since nothing
 * shows that the task ran; see docs/design/blame.md.
 *
 * A crash that comes later after the start is weaker evidence, as executors are
 * lost for other reasons too, and makes a suspect only if it is repeated.
 */
import type {Executor} from '../state/executor.js';
import {endJob, type EndedJob} from '../state/job-ends.js';
import type {Owner} from '../state/owner-state.js';
import {
	listCoscheduledTasks,
	listTasks,
	type Crash,
	type Job,
	type Run,
	type Task,
} from '../state/task.js';

/** A crash this soon after a start makes the task a suspect, in milliseconds. */
const promptCrashMs = 300;

/** A run that has survived this long is not the cause, in milliseconds. */
const maxCrashDelayMs = 5000;

/** Crashes without isolation that make a task a suspect if none was prompt. */
const lateCrashesOfSuspect = 2;

/** Crashes in isolation after which a task is given up. */
const maxIsolatedCrashes = 2;

/** Crashes of any kind after which a task is given up. */
const maxCrashes = 4;

/** Crashes of any kind and weight after which a task is given up. */
const maxCrashesInAll = 5;

/** How long a loss without a start to explain it is remembered, in ms. */
const lossMemoryMs = 10_000;

/**
 * Share of the executors lost without such a start, within that time, above
 * which a loss says little of a start without an answer.
 */
const frequentLossShare = 0.1;

/** Weight of the crash of such a start, in place of 1. */
const doubtfulWeight = 0.5;

/** Probation as a multiple of the longest time until a crash. */
const probationFactor = 2;

/**
 * How long a run has certainly survived, in milliseconds of the executor's
 * clock: from the first answer that confirmed the run to the latest one.
 */
export const getSurvivedMs = (
	{clock}: Executor,
	{confirmedClockMs}: Run,
): number =>
	clock === undefined || confirmedClockMs === undefined
		? 0
		: clock.reportedMs - confirmedClockMs;

/** Whether a run may still crash its executor promptly after its start. */
const isRecent = (executor: Executor, run: Run): boolean =>
	getSurvivedMs(executor, run) < promptCrashMs;

/** Whether no run has started on an executor recently. */
export const hasNoRecentRun = (executor: Executor): boolean =>
	[...executor.runs.values()].every((run) => !isRecent(executor, run));

/** Whether a task must start in isolation. */
export const isCrashSuspect = ({crashes}: Task): boolean =>
	crashes.length >= lateCrashesOfSuspect ||
	crashes.some(({survivedMs}) => survivedMs < promptCrashMs);

/** How long a run of a suspect must survive to clear it, in milliseconds. */
export const getProbationMs = ({crashes}: Task): number =>
	Math.max(
		promptCrashMs,
		...crashes.map(({survivedMs}) => probationFactor * survivedMs),
	);

/** Remaining probation of the isolated runs on an executor, in milliseconds. */
export const getRemainingProbationMs = (
	executor: Executor,
): number | undefined => {
	const isolated = [...executor.runs.values()].filter(
		({isIsolated}) => isIsolated,
	);
	return isolated.length === 0
		? undefined
		: Math.max(
				0,
				...isolated.map(
					(run) => getProbationMs(run.task) - getSurvivedMs(executor, run),
				),
			);
};

const getWeight = (crashes: readonly Crash[]): number =>
	crashes
		.filter(({awaitsAnswer}) => !awaitsAnswer)
		.reduce((sum, {isDoubtful}) => sum + (isDoubtful ? doubtfulWeight : 1), 0);

const getIsolatedWeight = ({crashes}: Task): number =>
	getWeight(crashes.filter(({wasIsolated}) => wasIsolated));

/** A long-running task is restarted however it ends, so it is never given up. */
const isAtFault = (task: Task): boolean =>
	!task.step.spec.isLongRunning &&
	(task.crashes.filter(({awaitsAnswer}) => !awaitsAnswer).length >=
		maxCrashesInAll ||
		getWeight(task.crashes) >= maxCrashes ||
		getIsolatedWeight(task) >= maxIsolatedCrashes);

const listRecentLosses = (owner: Owner, now: number): readonly number[] =>
	owner.unexplainedLosses.filter((lostAt) => lostAt > now - lossMemoryMs);

/** Whether executors of the service are often lost without a cause in a start. */
const areLossesFrequent = (owner: Owner, now: number): boolean => {
	const {length} = listRecentLosses(owner, now);
	return length > Math.max(1, frequentLossShare * owner.executors.size);
};

/**
 * Remembers the loss of an executor on which nothing had started recently. One
 * that is evacuated is lost as planned, and one whose leases had expired was
 * lost before.
 */
const recordUnexplainedLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	now: number,
): void => {
	const isExplained = lostRuns.some(
		(run) => run.isIsolated || isRecent(executor, run),
	);
	const isExpected = executor.evacuation !== undefined;
	const isKnown = executor.possiblyCrashedBy.length > 0;
	if (!isExplained && !isExpected && !isKnown) {
		owner.unexplainedLosses = [...listRecentLosses(owner, now), now];
	}
};

const addCrash = (owner: Owner, task: Task, crash: Crash): void => {
	for (const each of listCoscheduledTasks(task)) {
		each.crashes = [...each.crashes, crash].slice(-maxCrashesInAll);
	}

	owner.dirtyJobs.add(task.step.occurrence.job);
	trackSuspect(owner, task);
};

/** Whether a start was barred by a stop before it was carried out. */
const isBarred = ({state, confirmedAt}: Run): boolean =>
	state === 'barring' && confirmedAt !== undefined;

const recordCrash = (
	owner: Owner,
	executor: Executor,
	run: Run,
	now: number,
): void => {
	const {task, number, isIsolated} = run;
	const survivedMs = getSurvivedMs(executor, run);
	const isKnown = task.crashes.some((each) => each.run === number);
	if (!isKnown && !isBarred(run) && survivedMs < maxCrashDelayMs) {
		const wasAnswered = run.confirmedAt !== undefined;
		const isDoubtful = !wasAnswered && areLossesFrequent(owner, now);
		addCrash(owner, task, {
			run: number,
			survivedMs,
			wasIsolated: isIsolated,
			...(isDoubtful ? {isDoubtful} : {}),
			...(run.state === 'asked' ? {awaitsAnswer: true} : {}),
		});
	}
};

/**
 * Records the loss of an executor against those of the lost runs that may have
 * caused it, and returns their tasks. The loss of a draining one is expected.
 */
const recordLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	now: number,
): readonly Task[] => {
	if (executor.listed.isDraining) {
		return [];
	}

	recordUnexplainedLoss(owner, executor, lostRuns, now);
	const runs = lostRuns.filter(
		({task}) => !task.isDone && !task.step.occurrence.job.end,
	);
	const isolated = runs.filter(({isIsolated}) => isIsolated);
	const candidates = isolated.length > 0 ? isolated : runs;
	for (const run of candidates) {
		recordCrash(owner, executor, run, now);
	}

	return candidates.map(({task}) => task);
};

const giveUp = (owner: Owner, task: Task, now: number): EndedJob => {
	const {job} = task.step.occurrence;
	endJob(owner, job, 'failed', now);
	const reason = `task ${task.id} crashed ${task.crashes.length} executors`;
	return {job: job.accepted.id, end: 'failed', reason};
};

const giveUpIfAtFault = (
	owner: Owner,
	task: Task,
	now: number,
): readonly EndedJob[] =>
	isAtFault(task) && !task.step.occurrence.job.end
		? [giveUp(owner, task, now)]
		: [];

/**
 * Attributes the loss of an executor to the lost runs; returns the jobs that
 * fail thereby.
 */
export const attributeLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	now: number,
): readonly EndedJob[] =>
	recordLoss(owner, executor, lostRuns, now).flatMap((task) =>
		giveUpIfAtFault(owner, task, now),
	);

/**
 * Records the loss of an executor that may only be disconnected. No job fails
 * by that; the crashes are withdrawn if the executor answers again.
 */
export const recordPossibleLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	now: number,
): void => {
	recordLoss(owner, executor, lostRuns, now);
	executor.possiblyCrashedBy = [...executor.possiblyCrashedBy, ...lostRuns];
};

const endSuspicion = (owner: Owner, task: Task): void => {
	for (const each of listCoscheduledTasks(task)) {
		for (const run of each.runs) {
			run.isIsolated = false;
		}

		owner.crashSuspects.delete(each);
	}
};

const withdrawCrash = (owner: Owner, {task, number}: Run): void => {
	for (const each of listCoscheduledTasks(task)) {
		each.crashes = each.crashes.filter(({run}) => run !== number);
	}

	owner.dirtyJobs.add(task.step.occurrence.job);
	if (!isCrashSuspect(task)) {
		endSuspicion(owner, task);
	}
};

/** What the answer to a start made of the crash that awaited it. */
export type SettledCrash = {
	readonly isWithdrawn: boolean;
	readonly jobEnds: readonly EndedJob[];
};

/**
 * Settles the crash of a start whose executor was lost before its answer came:
 * withdraws it if the start was turned away, else counts it. Returns `undefined`
 * if no crash awaits the answer.
 */
export const settleCrash = (
	owner: Owner,
	run: Run,
	isTurnedAway: boolean,
	now: number,
): SettledCrash | undefined => {
	const {task, number} = run;
	const isAwaited = task.crashes.some(
		(each) => each.run === number && each.awaitsAnswer,
	);
	if (!isAwaited) {
		return undefined;
	}

	if (isTurnedAway) {
		withdrawCrash(owner, run);
		return {isWithdrawn: true, jobEnds: []};
	}

	for (const each of listCoscheduledTasks(task)) {
		each.crashes = each.crashes.map((crash) =>
			crash.run === number ? {...crash, awaitsAnswer: undefined} : crash,
		);
	}

	return {isWithdrawn: false, jobEnds: giveUpIfAtFault(owner, task, now)};
};

/** Withdraws the crashes of an executor that lives. */
export const withdrawCrashes = (owner: Owner, executor: Executor): void => {
	for (const run of executor.possiblyCrashedBy) {
		withdrawCrash(owner, run);
	}

	executor.possiblyCrashedBy = [];
};

/**
 * Records the loss of all unresponsive executors, before the service has another
 * owner, which does not know what runs there.
 */
export const recordUnresponsive = (owner: Owner, now: number): void => {
	for (const executor of owner.executors.values()) {
		if (executor.unresponsiveSince !== undefined) {
			recordPossibleLoss(owner, executor, [...executor.runs.values()], now);
		}
	}
};

const hasOutlivedProbation = (owner: Owner, {task, number}: Run): boolean =>
	listCoscheduledTasks(task).every((each) =>
		each.runs.some((run) => {
			const executor = owner.executors.get(run.executorId);
			return (
				run.number === number &&
				executor !== undefined &&
				getSurvivedMs(executor, run) >= getProbationMs(each)
			);
		}),
	);

/** Clears a task of its crashes once a run of it has outlived its probation. */
export const clearIfProbationIsOver = (owner: Owner, run: Run): void => {
	const {task} = run;
	if (task.crashes.length === 0 || !hasOutlivedProbation(owner, run)) {
		return;
	}

	for (const each of listCoscheduledTasks(task)) {
		each.crashes = [];
	}

	endSuspicion(owner, task);
	owner.dirtyJobs.add(task.step.occurrence.job);
};

/**
 * Lets the next plans start a task in isolation if it is a suspect. The first
 * task of a gang stands for all of them.
 */
const trackSuspect = (owner: Owner, task: Task): void => {
	const [first] = listCoscheduledTasks(task);
	if (first && isCrashSuspect(task)) {
		owner.crashSuspects.add(first);
	}
};

/** Tracks the suspects of a job whose progress was stored by another owner. */
export const trackSuspectsOfJob = (owner: Owner, job: Job): void => {
	for (const task of listTasks(job)) {
		trackSuspect(owner, task);
	}
};

const compareSuspects = (one: Task, two: Task): number => {
	const first = one.step.occurrence.job.accepted;
	const second = two.step.occurrence.job.accepted;
	return (
		getIsolatedWeight(two) - getIsolatedWeight(one) ||
		Number(two.step.spec.isLongRunning) - Number(one.step.spec.isLongRunning) ||
		first.acceptedAtEpochMs - second.acceptedAtEpochMs ||
		one.index - two.index
	);
};

/**
 * Lists the suspects of open jobs, the likeliest cause first: once it has
 * crashed a further executor, the tasks of its job need not be tried.
 */
export const listSuspects = (owner: Owner): readonly Task[] => {
	for (const task of owner.crashSuspects) {
		if (task.isDone || task.step.occurrence.job.end) {
			owner.crashSuspects.delete(task);
		}
	}

	return [...owner.crashSuspects].toSorted(compareSuspects);
};

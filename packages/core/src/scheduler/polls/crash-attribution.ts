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
 * show no crash for certain, as it may be cut off; see possible-losses.ts.
 *
 * Executors are lost without a cause in what they run, too. Each crash has the
 * probability that its executor was lost by chance, and a task is given up once
 * chance is unlikely to explain all of them; see docs/design/blame.md.
 *
 * A crash that comes later after the start is weaker evidence, as executors are
 * lost for other reasons too, and makes a suspect only if it is repeated.
 */
import {
	describeIncarnation,
	evacuationPhases,
	type Executor,
} from '../state/executor.js';
import {isLaterIncarnation, isSameIncarnation} from '../state/incarnation.js';
import type {EndedJob} from '../state/job-ends.js';
import {markTaskDirty} from '../state/split-progress.js';
import {getMaxLeaseDurationMs} from '../state/leases.js';
import {getEarliestRemoteTime} from '../state/remote-clock.js';
import type {ExecutorLoss, Owner} from '../state/owner-state.js';
import {
	lossSigns,
	type Crash,
	type LossSign,
	type PossiblyLost,
} from '../state/crash.js';
import {
	listCoscheduledTasks,
	listTasks,
	type Job,
	type Run,
	type Task,
} from '../state/task.js';
import {
	estimateLossChance,
	estimateLossRate,
	getSurvivedMs,
	isRecent,
	listRecentLosses,
	maxCrashesInAll,
} from './crash-evidence.js';
import {giveUpIfAtFault, trackSuspect} from './crash-suspects.js';
import {addPossibleLoss, inheritPossibleLosses} from './possible-losses.js';

/** A run that has survived this long is not the cause, in milliseconds. */
const maxCrashDelayMs = 5000;

/** Whether an executor is to leave, or a command may have ended it. */
const isLossExpected = ({
	listed,
	evacuation,
	mayBeCommanded,
}: Executor): boolean =>
	listed.isDraining ||
	evacuation?.phase === evacuationPhases.held ||
	mayBeCommanded;

/**
 * Remembers the loss of an executor, and whether something had started there
 * recently. One whose leases had expired was lost before.
 */
const rememberLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	now: number,
): void => {
	const isKnown =
		owner.possibleLosses.has(executor.id) ||
		(executor.wasUnlisted && lostRuns.length === 0);
	if (!isKnown && !isLossExpected(executor)) {
		const isExplained = lostRuns.some(
			(run) => run.isIsolated || isRecent(executor, run),
		);
		const {executorId, startedAtEpochMs} = describeIncarnation(executor);
		owner.recentLosses = [
			...listRecentLosses(owner, now),
			{at: now, isExplained, executorId, startedAtEpochMs},
		];
	}
};

/** Forgets the loss of an executor that answers again: it was cut off. */
export const forgetLoss = (
	owner: Owner,
	executorId: string,
	startedAtEpochMs: number | undefined,
): void => {
	const isDisproved = (loss: ExecutorLoss) =>
		loss.executorId === executorId &&
		isSameIncarnation(loss.startedAtEpochMs, startedAtEpochMs);
	if (owner.recentLosses.some((each) => isDisproved(each))) {
		owner.recentLosses = owner.recentLosses.filter(
			(each) => !isDisproved(each),
		);
	}
};

/** Remembers the loss of an executor that left the registry, if it is idle. */
export const rememberIdleLoss = (
	owner: Owner,
	executor: Executor,
	now: number,
): void => {
	if (executor.runs.size === 0) {
		rememberLoss(owner, executor, [], now);
	}
};

const addCrash = (owner: Owner, task: Task, crash: Crash): void => {
	for (const each of listCoscheduledTasks(task)) {
		each.crashes = [...each.crashes, crash].slice(-maxCrashesInAll);
	}

	markTaskDirty(owner, task);
	trackSuspect(owner, task);
};

/** Whether a start was barred by a stop before it was carried out. */
const isBarred = ({state, confirmedAt}: Run): boolean =>
	state === 'barring' && confirmedAt !== undefined;

/** When a loss is known, and how certain it is. */
type Loss = {
	readonly now: number;
	/** Present if the executor may live. */
	readonly possiblyOn?: PossiblyLost;
	/** Absent if the executor may live. */
	readonly sign?: LossSign;
	/** By when the loss is known; absent if it is now. */
	readonly until?: number | undefined;
};

/** Whether a run may have crashed its executor. */
const isCandidate = (executor: Executor, run: Run): boolean =>
	!isBarred(run) && getSurvivedMs(executor, run) < maxCrashDelayMs;

/**
 * How long a candidate may have survived. A run of an earlier owner is older than
 * this one knows: a short time would let the next run pass for harmless.
 */
const getMaxSurvivedMs = (executor: Executor, run: Run): number =>
	run.isAdopted ? maxCrashDelayMs : getSurvivedMs(executor, run);

const areOneTask = ([first, ...others]: readonly Run[]): boolean =>
	first !== undefined &&
	others.every(({task}) => listCoscheduledTasks(first.task).includes(task));

/**
 * Records the loss of an executor against those of the lost runs that may have
 * caused it, and returns their tasks. The loss of a draining one is expected.
 */
const recordLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	{now, possiblyOn, sign, until = now}: Loss,
): readonly Task[] => {
	if (executor.listed.isDraining) {
		return [];
	}

	const lossRate = estimateLossRate(owner, now);
	rememberLoss(owner, executor, lostRuns, now);
	const runs = lostRuns.filter(
		({task}) => !task.isDone && !task.step.occurrence.job.end,
	);
	const isolated = runs.filter(({isIsolated}) => isIsolated);
	const candidates = (isolated.length > 0 ? isolated : runs).filter((run) =>
		isCandidate(executor, run),
	);
	// Any of several may be the cause, so the loss says little of each.
	const isOneTask = areOneTask(candidates);
	for (const run of candidates) {
		const {task, number, isIsolated} = run;
		if (!task.crashes.some((each) => each.run === number)) {
			addCrash(owner, task, {
				run: number,
				survivedMs: getMaxSurvivedMs(executor, run),
				wasIsolated: isIsolated,
				chance: isOneTask
					? estimateLossChance(executor, run, {lossRate, until})
					: 1,
				executorId: executor.id,
				wasAnswered: run.confirmedAt !== undefined,
				lostAt: now,
				...(run.state === 'asked' ? {awaitsAnswer: true} : {}),
				...(possiblyOn ? {possiblyOn} : {}),
				...(sign ? {sign} : {}),
			});
		}
	}

	return candidates.map(({task}) => task);
};

/**
 * Attributes the end of an incarnation, of which another one gives evidence, to
 * the lost runs; returns the jobs that fail thereby.
 */
export const attributeLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	now: number,
): readonly EndedJob[] =>
	recordLoss(owner, executor, lostRuns, {
		now,
		sign: lossSigns.restarted,
	}).flatMap((task) => giveUpIfAtFault(owner, task, now));

/**
 * Whether the answer that confirmed a run shows an earlier clock than the known
 * incarnation had when the start was sent: a later one runs it.
 */
const isOnLaterIncarnation = (
	{clock}: Executor,
	{confirmedClockMs, askedAt}: Run,
): boolean =>
	clock !== undefined &&
	confirmedClockMs !== undefined &&
	clock.receivedAt <= askedAt &&
	confirmedClockMs < getEarliestRemoteTime(clock, askedAt);

/** Describes an incarnation that has confirmed a run and was not polled. */
const describeLaterIncarnation = (
	{id, listed, incarnation}: Executor,
	clockMs: number | undefined,
): PossiblyLost => ({
	executorId: id,
	startedAtEpochMs: isLaterIncarnation(
		listed.startedAtEpochMs,
		incarnation?.startedAtEpochMs,
	)
		? listed.startedAtEpochMs
		: undefined,
	clockMs,
	address: listed.address,
});

/**
 * Records the loss of an executor that may only be disconnected. No job fails
 * by that; the crashes count once a sign shows that the executor is lost, by
 * `until`, and are withdrawn if it answers again.
 */
export const recordPossibleLoss = (
	owner: Owner,
	executor: Executor,
	lostRuns: readonly Run[],
	{now, until}: Pick<Loss, 'now' | 'until'>,
): void => {
	const record = (runs: readonly Run[], possiblyOn: PossiblyLost) => {
		const tasks = recordLoss(owner, executor, runs, {now, possiblyOn, until});
		addPossibleLoss(owner, executor, possiblyOn, {tasks, now});
	};

	const later = lostRuns.filter((run) => isOnLaterIncarnation(executor, run));
	const known = lostRuns.filter((run) => !later.includes(run));
	if (later.length > 0) {
		const clockMs = Math.max(
			...later.map(({confirmedClockMs}) => confirmedClockMs ?? 0),
		);
		record(later, describeLaterIncarnation(executor, clockMs));
	}

	if (known.length > 0 || later.length === 0) {
		record(known, describeIncarnation(executor));
	}
};

/**
 * Records the loss of all unresponsive executors, before the service has another
 * owner, which does not know what runs there.
 */
export const recordUnresponsive = (owner: Owner, now: number): void => {
	const until = now + getMaxLeaseDurationMs(owner.cfg);
	for (const executor of owner.executors.values()) {
		if (executor.unresponsiveSince !== undefined) {
			const runs = [...executor.runs.values()];
			recordPossibleLoss(owner, executor, runs, {now, until});
		}
	}
};

/**
 * Tracks the suspects of a job whose progress was stored by another owner, and
 * the executors that may have crashed under them.
 */
export const trackSuspectsOfJob = (owner: Owner, job: Job): void => {
	for (const task of listTasks(job)) {
		trackSuspect(owner, task);
		inheritPossibleLosses(owner, task);
	}
};

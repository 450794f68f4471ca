/** What crashes show of a task, and how often executors are lost anyway. */
import {hasIsolatedRun, type Executor} from '../state/executor.js';
import type {ExecutorLoss, Owner} from '../state/owner-state.js';
import type {Crash} from '../state/crash.js';
import type {Run, Task} from '../state/task.js';

/** A crash this soon after a start makes the task a suspect, in milliseconds. */
const promptCrashMs = 300;

/** Crashes without isolation that make a task a suspect if none was prompt. */
const lateCrashesOfSuspect = 2;

/** Crashes in isolation without which a task is not given up. */
const minIsolatedCrashes = 2;

/** Crashes of any kind that stand for those in isolation. */
const minCrashes = 4;

/** Crashes of any kind after which a task is given up. */
export const maxCrashesInAll = 5;

/** Probability of giving a harmless task up by chance that is accepted. */
const maxChance = 0.001;

/** Least probability of a loss by chance: not all causes show in a rate. */
const minLossChance = 0.03;

/** Probability that a start without an answer has reached the executor. */
const arrivalChance = 0.5;

/** Probabilities of crashes in rows of the older format. */
const storedChance = {certain: 0.03, doubtful: 0.18} as const;

/** How long the loss of an executor is remembered, in milliseconds. */
const lossMemoryMs = 10_000;

/** Weight of the prior in executor-milliseconds, and the losses it assumes. */
const prior = {exposureMs: 10_000, losses: 0.02} as const;

/** Probation as a multiple of the longest time until a crash. */
const probationFactor = 2;

/**
 * How long a run has certainly survived, in milliseconds of the executor's
 * clock: from the first answer that confirmed the run to the latest one. The two
 * may come from different incarnations, so that the local clock bounds it.
 */
export const getSurvivedMs = (
	{clock}: Executor,
	{confirmedClockMs, askedAt}: Run,
): number =>
	clock === undefined || confirmedClockMs === undefined
		? 0
		: Math.min(
				clock.reportedMs - confirmedClockMs,
				Math.max(0, clock.receivedAt - askedAt),
			);

/** Whether a run may still crash its executor promptly after its start. */
export const isRecent = (executor: Executor, run: Run): boolean =>
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

/** Whether a crash does not count yet. */
const isOpenCrash = ({awaitsAnswer, sign}: Crash): boolean =>
	awaitsAnswer === true || sign === undefined;

/** Lists the crashes that count against a task. */
export const listCountedCrashes = ({crashes}: Task): readonly Crash[] =>
	crashes.filter((each) => !isOpenCrash(each));

const getLossChance = ({chance, isDoubtful}: Crash): number =>
	chance ?? storedChance[isDoubtful ? 'doubtful' : 'certain'];

/** Probability that all counted crashes of a task are losses by chance. */
export const getChance = (task: Task): number =>
	listCountedCrashes(task).reduce(
		(product, crash) => product * getLossChance(crash),
		1,
	);

/** A long-running task is restarted however it ends, so it is never given up. */
export const isAtFault = (task: Task): boolean => {
	const counted = listCountedCrashes(task);
	const isolated = counted.filter(({wasIsolated}) => wasIsolated);
	const isEvident =
		(isolated.length >= minIsolatedCrashes || counted.length >= minCrashes) &&
		getChance(task) <= maxChance;
	return (
		!task.step.spec.isLongRunning &&
		(isEvident || counted.length >= maxCrashesInAll)
	);
};

/**
 * Whether a suspect may start. After as many crashes as give a task up it waits
 * until it is known which of them were none, for `absenceMs` at most.
 */
export const mayRestart = (task: Task): boolean =>
	task.step.spec.isLongRunning || task.crashes.length < maxCrashesInAll;

/** Lists the losses that are not too old. */
export const listRecentLosses = (
	{recentLosses}: Owner,
	now: number,
): readonly ExecutorLoss[] =>
	recentLosses.filter(({at}) => at > now - lossMemoryMs);

const getRate = (losses: number, executors: number): number =>
	losses / (lossMemoryMs * Math.max(1, executors));

/**
 * Estimates how often an executor is lost by chance, per millisecond, from
 * those on which nothing had started recently. Others are left out on both
 * sides, so that tasks which crash executors do not excuse each other. As far
 * as there are too few to tell, the rate of all losses stands in. Unresponsive
 * executors may be lost already, and do not count as exposed.
 */
export const estimateLossRate = (owner: Owner, now: number): number => {
	const executors = [...owner.executors.values()].filter(
		({unresponsiveSince}) => unresponsiveSince === undefined,
	);
	const unaffected = executors.filter(
		(each) => !hasIsolatedRun(each) && hasNoRecentRun(each),
	);
	const losses = listRecentLosses(owner, now);
	const unexplained = losses.filter(({isExplained}) => !isExplained);
	const rateOfAll = getRate(prior.losses + losses.length, executors.length);
	const exposureMs = lossMemoryMs * unaffected.length;
	return (
		(unexplained.length + prior.exposureMs * rateOfAll) /
		(exposureMs + prior.exposureMs)
	);
};

/**
 * Probability that an executor is lost by chance between its last sign of life
 * before a start and `until`, by which it is known to be lost.
 */
export const estimateLossChance = (
	{clock}: Executor,
	{askedAt, confirmedAt}: Run,
	{lossRate, until}: {readonly lossRate: number; readonly until: number},
): number => {
	const aliveAt = Math.min(askedAt, clock?.receivedAt ?? askedAt);
	const chance = 1 - Math.exp(-lossRate * (until - aliveAt));
	const weighed =
		confirmedAt === undefined
			? chance / (arrivalChance + (1 - arrivalChance) * chance)
			: chance;
	return Math.max(minLossChance, weighed);
};

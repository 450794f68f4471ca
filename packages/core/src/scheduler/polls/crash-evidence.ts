/** What crashes show of a task, and how often executors are lost anyway. */
import type {Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Crash, Run, Task} from '../state/task.js';

/** A crash this soon after a start makes the task a suspect, in milliseconds. */
const promptCrashMs = 300;

/** Crashes without isolation that make a task a suspect if none was prompt. */
const lateCrashesOfSuspect = 2;

/** Crashes in isolation after which a task is given up. */
const maxIsolatedCrashes = 2;

/** Crashes of any kind after which a task is given up. */
const maxCrashes = 4;

/** Crashes of any kind and weight after which a task is given up. */
export const maxCrashesInAll = 5;

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

/** Whether a crash may still turn out not to be one. */
const isOpenCrash = ({awaitsAnswer, possiblyOn}: Crash): boolean =>
	awaitsAnswer === true || possiblyOn !== undefined;

const listCertainCrashes = ({crashes}: Task): readonly Crash[] =>
	crashes.filter((each) => !isOpenCrash(each));

const getWeight = (crashes: readonly Crash[]): number =>
	crashes.reduce(
		(sum, {isDoubtful}) => sum + (isDoubtful ? doubtfulWeight : 1),
		0,
	);

/** Weight of the certain crashes in isolation. */
export const getIsolatedWeight = (task: Task): number =>
	getWeight(listCertainCrashes(task).filter(({wasIsolated}) => wasIsolated));

/** A long-running task is restarted however it ends, so it is never given up. */
export const isAtFault = (task: Task): boolean => {
	const certain = listCertainCrashes(task);
	return (
		!task.step.spec.isLongRunning &&
		(certain.length >= maxCrashesInAll ||
			getWeight(certain) >= maxCrashes ||
			getIsolatedWeight(task) >= maxIsolatedCrashes)
	);
};

/**
 * Whether a suspect may start. After as many crashes as give a task up it waits
 * until it is known which of them were none.
 */
export const mayRestart = (task: Task): boolean =>
	task.step.spec.isLongRunning || task.crashes.length < maxCrashesInAll;

/** Lists when executors were lost recently for no start. */
export const listRecentLosses = (
	owner: Owner,
	now: number,
): readonly number[] =>
	owner.unexplainedLosses.filter((lostAt) => lostAt > now - lossMemoryMs);

/** Whether executors of the service are often lost without a cause in a start. */
export const areLossesFrequent = (owner: Owner, now: number): boolean => {
	const {length} = listRecentLosses(owner, now);
	return length > Math.max(1, frequentLossShare * owner.executors.size);
};

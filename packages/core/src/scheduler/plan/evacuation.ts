/**
 * Evacuation of an executor before its machine is moved or maintained. Short
 * runs may finish, long ones that can checkpoint are stopped, and long-running
 * tasks are stopped only within the disruption budget of their step and if
 * another executor has room.
 */
import type {Evacuation, Executor} from '../state/executor.js';
import {getSpeedFactor} from '../executor-speed/speed-state.js';
import type {Owner} from '../state/owner-state.js';
import {listUsable, placeTask} from '../placement/place-task.js';
import {predictStepTime} from '../run-times/model.js';
import {estimateRunTimeLeft} from '../run-times/remaining.js';
import type {Run, Step, Task} from '../state/task.js';

/** Progress at which a long-running task has started up. */
const readyPercent = 100;

/** An unresponsive executor may be lost, and its runs with it. */
const isResponsive = ({executors}: Owner, {executorId}: Run): boolean => {
	const executor = executors.get(executorId);
	return executor !== undefined && executor.unresponsiveSince === undefined;
};

const isReady = (owner: Owner, {runs}: Task): boolean =>
	runs.some(
		(run) =>
			run.state === 'running' &&
			run.percent >= readyPercent &&
			run.mayStopUntil === undefined &&
			isResponsive(owner, run),
	);

/** Counts the tasks of a step that are not ready, apart from `task`. */
const countOthersNotReady = (owner: Owner, step: Step, task: Task): number =>
	step.tasks.filter((each) => each !== task && !isReady(owner, each)).length;

/**
 * Whether a long-running task may be stopped within the disruption budget of
 * its step, which defaults to one task. This holds also for a task that was
 * starting up when last polled, since it may be ready by now.
 */
export const mayStopLongRunning = (owner: Owner, task: Task): boolean =>
	countOthersNotReady(owner, task.step, task) < (task.step.spec.mayMiss ?? 1);

/** Progress of the evacuation of an executor. */
export type EvacuationState =
	| {readonly kind: 'clear'}
	| {readonly kind: 'waiting'; readonly runs: number}
	| {readonly kind: 'unknown-executor'};

/** Requests the evacuation of an executor, or renews the request. */
export const requestEvacuation = (
	owner: Owner,
	executorId: string,
	patienceMs: number,
	now: number,
): EvacuationState => {
	const executor = owner.executors.get(executorId);
	if (!executor) {
		return {kind: 'unknown-executor'};
	}

	executor.evacuation = {
		validUntil: now + owner.cfg.evacuationTtlMs,
		stopFrom: executor.evacuation?.stopFrom ?? now + patienceMs,
	};
	const isClear = executor.runs.size === 0 && executor.isAdopted;
	return isClear
		? {kind: 'clear'}
		: {kind: 'waiting', runs: executor.runs.size};
};

/** Ends evacuations whose request was not renewed. */
export const expireEvacuations = (owner: Owner, now: number): void => {
	for (const executor of owner.executors.values()) {
		if (executor.evacuation && executor.evacuation.validUntil < now) {
			executor.evacuation = undefined;
		}
	}
};

const getRemainingMs = (owner: Owner, run: Run, now: number): number => {
	const {step} = run.task;
	const predicted = predictStepTime(owner.runTimes, 'run', step);
	if (predicted) {
		return estimateRunTimeLeft(run, predicted, now).remaining.typicalMs;
	}

	// On a slow executor runs take longer, so those that can checkpoint move.
	const executor = owner.executors.get(run.executorId);
	const speed = executor ? getSpeedFactor(executor.speed) : 1;
	return (step.spec.estimateMs * (1 - run.percent / 100)) / speed;
};

const shouldStopBatch = (
	owner: Owner,
	run: Run,
	stopFrom: number,
	now: number,
): boolean => {
	const {spec} = run.task.step;
	const isLong =
		getRemainingMs(owner, run, now) > owner.cfg.evacuationPatienceMs;
	return stopFrom <= now || (spec.canCheckpoint && isLong);
};

const hasRoomElsewhere = (owner: Owner, task: Task, now: number): boolean =>
	placeTask(listUsable(owner, now), task).kind === 'placed';

const mayStop = (
	owner: Owner,
	run: Run,
	evacuation: Evacuation,
	now: number,
): boolean => {
	const {task, state} = run;
	if (state !== 'running') {
		return false;
	}

	return task.step.spec.isLongRunning
		? mayStopLongRunning(owner, task) && hasRoomElsewhere(owner, task, now)
		: shouldStopBatch(owner, run, evacuation.stopFrom, now);
};

/**
 * Yields the runs to stop now to evacuate an executor. The caller must mark
 * each run as stopping before it takes the next one, since every stop uses up
 * disruption budget.
 */
export function* listEvacuationStops(
	owner: Owner,
	executor: Executor,
	now: number,
): Generator<Run> {
	for (const run of executor.evacuation ? executor.runs.values() : []) {
		if (executor.evacuation && mayStop(owner, run, executor.evacuation, now)) {
			yield run;
		}
	}
}

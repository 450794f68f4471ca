/**
 * Evacuation of an executor before its machine is moved or maintained. Short
 * runs may finish, long ones that can checkpoint are stopped, and long-running
 * tasks are stopped only within the disruption budget of their step and if
 * another executor has room.
 */
import type {Evacuation, Executor, RequestOrder} from '../state/executor.js';
import {expireReservations, releaseReservation} from '../state/reservations.js';
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

/** Whether something runs on an executor, as its owner knows it. */
export type Occupancy =
	| {readonly kind: 'empty'}
	/** Something runs there, or it does not answer. */
	| {readonly kind: 'waiting'; readonly runs: number}
	| {readonly kind: 'unknown-executor'};

/** Progress of the evacuation of an executor. */
export type EvacuationState =
	/**
	 * Nothing runs there, and nothing starts for so long after the answer,
	 * whoever owns the service.
	 */
	| {readonly kind: 'clear'; readonly remainingMs: number}
	| Exclude<Occupancy, {readonly kind: 'empty'}>
	/** The ownership of the service is not confirmed. */
	| {readonly kind: 'not-owner'};

const isEmpty = ({
	runs,
	orphanedRunCount,
	isAdopted,
	unresponsiveSince,
}: Executor): boolean =>
	runs.size === 0 &&
	orphanedRunCount === 0 &&
	isAdopted &&
	unresponsiveSince === undefined;

/** Returns whether something runs on an executor. */
export const getOccupancy = (owner: Owner, executorId: string): Occupancy => {
	const executor = owner.executors.get(executorId);
	if (!executor) {
		return {kind: 'unknown-executor'};
	}

	return isEmpty(executor)
		? {kind: 'empty'}
		: {kind: 'waiting', runs: executor.runs.size};
};

const isEarlierRequest = (
	one: RequestOrder | undefined,
	two: RequestOrder | undefined,
): boolean =>
	one !== undefined &&
	two !== undefined &&
	(one.token < two.token || (one.token === two.token && one.at < two.at));

/** Records the order of a request to evacuate an executor. */
export const recordRequestOrder = (
	owner: Owner,
	executorId: string,
	order: RequestOrder | undefined,
): void => {
	const executor = owner.executors.get(executorId);
	if (executor && !isEarlierRequest(order, executor.evacuationOrder)) {
		executor.evacuationOrder = order;
	}
};

/** What the fleet's holder asks of an executor. */
export type EvacuationRequest = {
	/** How long runs may end by themselves, in milliseconds. */
	readonly patienceMs: number;
	/**
	 * Who asks for it, such as a wave, for the log; absent from holders of older
	 * releases.
	 */
	readonly claimant?: string | undefined;
	/** Absent from holders of older releases. */
	readonly order?: RequestOrder | undefined;
};

/**
 * Requests the evacuation of an executor, or renews the request. An empty
 * executor is not clear before its reservation is stored.
 */
export const requestEvacuation = (
	owner: Owner,
	executorId: string,
	{patienceMs, claimant}: EvacuationRequest,
	now: number,
): Occupancy => {
	const executor = owner.executors.get(executorId);
	if (!executor) {
		return {kind: 'unknown-executor'};
	}

	executor.evacuation = {
		claimant,
		since: executor.evacuation?.since ?? now,
		validUntil: now + owner.cfg.evacuationTtlMs,
		stopFrom: executor.evacuation?.stopFrom ?? now + patienceMs,
	};
	return getOccupancy(owner, executorId);
};

/**
 * Ends the evacuation and the reservation of an executor that will not be
 * commanded. Returns false if nothing ended, as for a request that arrives
 * after a later one to evacuate the executor.
 */
export const releaseEvacuation = (
	owner: Owner,
	executorId: string,
	order?: RequestOrder,
): boolean => {
	const executor = owner.executors.get(executorId);
	if (!executor || isEarlierRequest(order, executor.evacuationOrder)) {
		return false;
	}

	const hasEnded =
		executor.evacuation !== undefined || owner.reservations.has(executorId);
	executor.evacuation = undefined;
	releaseReservation(owner, executorId);
	return hasEnded;
};

/** Ends evacuations whose request was not renewed, and past reservations. */
export const expireEvacuations = (owner: Owner, now: number): void => {
	for (const executor of owner.executors.values()) {
		if (executor.evacuation && executor.evacuation.validUntil < now) {
			executor.evacuation = undefined;
		}
	}

	expireReservations(owner, now);
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

/** Whether an executor that may be given work has room for a task. */
export const hasRoomElsewhere = (
	owner: Owner,
	task: Task,
	now: number,
): boolean => placeTask(listUsable(owner, now), task).kind === 'placed';

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

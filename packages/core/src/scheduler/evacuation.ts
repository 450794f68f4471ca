/**
 * Emptying an executor before its machine is moved or maintained. Short work
 * is waited for, long work that can save itself is stopped, and a lasting task
 * goes only while its step's budget allows it and there is room elsewhere.
 */
import type {Evacuation, Executor} from './executor.js';
import type {Owner} from './owner-state.js';
import {listUsable, placeTask} from './place-task.js';
import type {Run, Step, Task} from './task.js';

/** Percent at which a lasting task is at work. */
const atWorkPercent = 100;

const isAtWork = ({runs}: Task): boolean =>
	runs.some(
		({state, percent, mayHaveStopped}) =>
			state === 'running' && percent >= atWorkPercent && !mayHaveStopped,
	);

/** Tasks of a step that are away, leaving out one of them. */
const countOthersAway = (step: Step, task: Task): number =>
	step.tasks.filter((each) => each !== task && !isAtWork(each)).length;

/**
 * Whether a lasting task may be stopped without overspending its step's
 * budget. A step that names no budget is stopped one task at a time. One that
 * was still starting counts too: what is known of it is up to a second old,
 * and it may be at work by now.
 */
export const mayStopLongRunning = (task: Task): boolean =>
	countOthersAway(task.step, task) < (task.step.spec.mayMiss ?? 1);

/** What an executor that is to be emptied still holds. */
export type EvacuationState =
	| {readonly kind: 'clear'}
	| {readonly kind: 'waiting'; readonly runs: number}
	| {readonly kind: 'unknown-executor'};

/** Asks for an executor to be emptied, or asks again. */
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

/** Ends evacuations that nobody asks for any more. */
export const expireEvacuations = (owner: Owner, now: number): void => {
	for (const executor of owner.executors.values()) {
		if (executor.evacuation && executor.evacuation.validUntil < now) {
			executor.evacuation = undefined;
		}
	}
};

const getRemainingMs = ({task, percent}: Run): number =>
	task.step.spec.estimateMs * (1 - percent / 100);

const shouldStopBatch = (
	owner: Owner,
	run: Run,
	stopFrom: number,
	now: number,
): boolean => {
	const {spec} = run.task.step;
	const isLong = getRemainingMs(run) > owner.cfg.evacuationPatienceMs;
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
		? mayStopLongRunning(task) && hasRoomElsewhere(owner, task, now)
		: shouldStopBatch(owner, run, evacuation.stopFrom, now);
};

/**
 * Runs of an executor that may be stopped now to empty it, one by one: each
 * must be noted as stopping before the next is asked for, since it spends
 * its step's budget.
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

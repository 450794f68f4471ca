/**
 * Room that is kept for wide tasks. Small tasks of other teams take each free
 * part of an executor, so that a task which needs a large part would wait as
 * long as they keep coming. An executor is therefore kept free of other starts
 * for it, for a bounded time and on a bounded part of the executors.
 */
import {mayTakeTaskOf} from '../placement/place-task.js';
import {createExactEstimate} from '../run-times/estimate.js';
import {estimateRunTimeLeft} from '../run-times/remaining.js';
import {
	couldHold,
	getDemand,
	getFree,
	type Executor,
} from '../state/executor.js';
import {isWaiting, type Run, type Step, type Task} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {addTo, type ResourceSum} from './dominant-share.js';

/** An executor that takes no starts other than that of a task. */
export type Reservation = {
	readonly task: Task;
	readonly executorId: string;
	readonly since: number;
};

/** How long an executor is kept for a task, in milliseconds. */
export const maxReservationMs = 2000;

/** How long the job of a task that was not placed then gets no other one. */
const pauseMs = 2000;

/** Part of the executors that may be kept for tasks at once. */
const maxReservedPart = 0.1;

/** Number of executors that may be kept for tasks at once. */
export const getMaxReservations = (executors: number): number =>
	Math.max(1, Math.floor(executors * maxReservedPart));

/** Whether the executor of a reservation is kept free of other starts. */
export const isActive = ({since}: Reservation, now: number): boolean =>
	now - since < maxReservationMs;

/** What becomes of a reservation. */
export type ReservationState = 'active' | 'placed' | 'expired' | 'dropped';

/**
 * Returns the state of a reservation: `placed` once its task has a run, and
 * `dropped` if its job or the executor is gone.
 */
export const getReservationState = (
	reservation: Reservation,
	usable: readonly Executor[],
	now: number,
): ReservationState => {
	const {task, executorId} = reservation;
	if (!isWaiting(task)) {
		return 'placed';
	}

	if (task.step.occurrence.job.end !== undefined) {
		return 'dropped';
	}

	if (!isActive(reservation, now)) {
		return 'expired';
	}

	return usable.some(({id}) => id === executorId) ? 'active' : 'dropped';
};

/** Whether the job of an expired reservation may get another one. */
export const isPauseOver = ({since}: Reservation, now: number): boolean =>
	now - since >= maxReservationMs + pauseMs;

/** Expected time until a run has ended, in milliseconds. */
export const getExpectedRemainingMs = (run: Run, now: number): number => {
	const {task, state} = run;
	const {isLongRunning, estimateMs} = task.step.spec;
	if (state === 'stopping' || state === 'barring') {
		return 0;
	}

	if (isLongRunning) {
		return Number.POSITIVE_INFINITY;
	}

	return estimateRunTimeLeft(run, createExactEstimate(estimateMs), now)
		.remaining.typicalMs;
};

const holds = (room: Resources, demand: Resources): boolean =>
	room.cpuMillis >= demand.cpuMillis &&
	room.memoryMb >= demand.memoryMb &&
	room.accelerators >= demand.accelerators;

/** When an executor has room for a step, if that is before `limitMs` from now. */
const getRoomInMs = (
	executor: Executor,
	step: Step,
	now: number,
	limitMs: number,
): number => {
	const demand = getDemand(step);
	const room: ResourceSum = {...getFree(executor)};
	if (holds(room, demand)) {
		return 0;
	}

	const ends = [...executor.runs.values()]
		.map((run) => ({run, inMs: getExpectedRemainingMs(run, now)}))
		.filter(({inMs}) => inMs < limitMs)
		.toSorted((one, two) => one.inMs - two.inMs);
	for (const {run, inMs} of ends) {
		addTo(room, getDemand(run.task.step));
		if (holds(room, demand)) {
			return inMs;
		}
	}

	return Number.POSITIVE_INFINITY;
};

/** Selects the executor that has room for a task of a step soonest, if any. */
export const pickSoonest = (
	executors: readonly Executor[],
	step: Step,
	now: number,
): Executor | undefined => {
	let best: Executor | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	for (const executor of executors) {
		if (!couldHold(executor, step) || !mayTakeTaskOf(step, executor)) {
			continue;
		}

		const inMs = getRoomInMs(executor, step, now, bestMs);
		if (inMs < bestMs) {
			best = executor;
			bestMs = inMs;
		}
	}

	return best;
};

/** Returns the first of some waiting tasks that has no reservation. */
export const findUnreserved = (
	reservations: readonly Reservation[],
	tasks: readonly Task[],
): Task | undefined =>
	tasks.find((task) => !reservations.some((each) => each.task === task));

import {nextRunNumber} from '../state/run-numbers.js';
/**
 * The parts of a plan that share room between teams: the order of the jobs, and
 * executors that are kept for wide tasks. Without shortage they change nothing.
 */
import {listAdvisedExecutors} from '../placement/placement-advice.js';
import {listFitting} from '../placement/place-task.js';
import type {RankedJob} from '../ranking/rank.js';
import type {Executor} from '../state/executor.js';
import type {Step, Task} from '../state/task.js';
import {
	findUnreserved,
	getMaxReservations,
	pickSoonest,
} from '../team-shares/reservation.js';
import {isKeptInVain, isPaused, shareRoom} from '../team-shares/share-room.js';
import {
	couldStart,
	listWaitingSteps,
	type WaitingStep,
} from '../team-shares/waiting-jobs.js';
import {
	isWithinTeamCap,
	reserveExecutors,
	startTask,
	type Planning,
} from './planning.js';

/** Unlike in the rest of a plan, missing advice is not requested here. */
const listAllowed = (
	{owner, now}: Planning,
	step: Step,
	executors: readonly Executor[],
): readonly Executor[] => listAdvisedExecutors(owner, step, executors, now);

const mayStartOn = (
	planning: Planning,
	executor: Executor,
	task: Task,
): boolean =>
	planning.startsLeft > 0 &&
	couldStart(planning.owner, task) &&
	isWithinTeamCap(planning, task) &&
	listFitting(listAllowed(planning, task.step, [executor]), task).length > 0;

/**
 * Starts the tasks whose executors have room now, and keeps the executors of
 * the others from the rest of the plan.
 */
const planReserved = (planning: Planning): void => {
	const {owner, usable, commands} = planning;
	for (const {task, executorId} of owner.roomShares.reservations) {
		const executor = usable.find(({id}) => id === executorId);
		if (!executor) {
			continue;
		}

		const command = mayStartOn(planning, executor, task)
			? startTask(planning, executor, task, {
					number: nextRunNumber(owner, task),
					isIsolated: false,
				})
			: undefined;
		if (command) {
			commands.push(command);
		} else {
			reserveExecutors(planning, [executor]);
		}
	}
};

/**
 * Returns the jobs in the order in which they get room, after starting the
 * tasks that room was kept for.
 */
export const planRoomShares = (
	planning: Planning,
	ranked: readonly RankedJob[],
): readonly RankedJob[] => {
	const {owner, now} = planning;
	const jobs = shareRoom(owner, planning, ranked, now);
	if (!jobs) {
		return ranked;
	}

	planReserved(planning);
	return jobs.map((job) => job.ranked);
};

/** Keeps an executor for a step; returns whether the step waits for room. */
const reserveForStep = (
	planning: Planning,
	{step, first}: WaitingStep,
): boolean => {
	const {now, usable, owner} = planning;
	const {roomShares: shares} = owner;
	if (step.spec.isGang || !isWithinTeamCap(planning, first)) {
		return false;
	}

	const allowed = listAllowed(planning, step, usable);
	const tasks = step.tasks.filter((each) => couldStart(owner, each));
	const task = findUnreserved(shares.reservations, tasks);
	if (!task || listFitting(allowed, task).length > 0) {
		return true;
	}

	const executor = pickSoonest(
		allowed.filter((each) => !isKeptInVain(shares, each)),
		step,
		now,
	);
	if (!executor) {
		return false;
	}

	const reservation = {task, executorId: executor.id, since: now};
	shares.reservations = [...shares.reservations, reservation];
	shares.counts.reserved += 1;
	return true;
};

/**
 * Keeps an executor for the first in-time job that still waits for room, which
 * belongs to the team with the smallest share. Runs at the end of a plan, when
 * all that fits has started.
 */
export const reserveRoom = (
	planning: Planning,
	jobs: readonly RankedJob[],
): void => {
	const {owner, usable} = planning;
	const {roomShares: shares} = owner;
	const reserved = shares.reservations.length;
	if (!shares.isShort || reserved >= getMaxReservations(usable.length)) {
		return;
	}

	for (const {job, timeliness} of jobs) {
		const mayReserve = timeliness === 'in-time' && !isPaused(shares, job);
		const steps = mayReserve ? listWaitingSteps(owner, job) : [];
		if (steps.some((each) => reserveForStep(planning, each))) {
			return;
		}
	}
};

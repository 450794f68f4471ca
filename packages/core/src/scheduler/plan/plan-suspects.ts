/** Starts tasks that may have crashed their executors, each in isolation. */
import {
	hasNoRecentRun,
	isCrashSuspect,
	mayRestart,
} from '../polls/crash-evidence.js';
import {listSuspects, noteRunOfSuspect} from '../polls/crash-suspects.js';
import {
	couldHold,
	getDemand,
	getFree,
	getReadiness,
	hasIsolatedRun,
	hasRoom,
	type Executor,
} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {
	listFitting,
	listUsable,
	mayTakeTaskOf,
} from '../placement/place-task.js';
import {addTo, type ResourceSum} from '../team-shares/dominant-share.js';
import {
	getExpectedRemainingMs,
	maxReservationMs,
} from '../team-shares/reservation.js';
import {resourceNames} from '../../teams/resources.js';
import {nextRunNumber} from '../state/run-numbers.js';
import {
	isStepReady,
	isWaiting,
	listCoscheduledTasks,
	type Run,
	type Step,
	type Task,
} from '../state/task.js';
import {isGangReady, startGang} from './plan-gang.js';
import {
	evictFor,
	isWithinTeamCap,
	listStepExecutors,
	reserveExecutors,
	startTask,
	type Planning,
} from './planning.js';

/** Maximum share of the executors that isolation keeps from other tasks. */
const maxIsolatedShare = 0.5;

/** How long isolation may keep a whole service from other work, in ms. */
const maxSoleIsolationMs = maxReservationMs;

const endIsolation = (owner: Owner, {task}: Run): void => {
	for (const each of listCoscheduledTasks(task)) {
		for (const run of each.runs) {
			run.isIsolated = false;
		}

		noteRunOfSuspect(owner, each);
	}
};

/** Whether tasks that are no suspects wait that fit on this executor only. */
const isAwaited = (
	owner: Owner,
	executor: Executor,
	usable: readonly Executor[],
): boolean => {
	for (const {occurrences} of owner.openJobs) {
		for (const {steps} of occurrences.values()) {
			for (const step of steps) {
				const isWaitedFor =
					isStepReady(step) &&
					couldHold(executor, step) &&
					!usable.some((each) => couldHold(each, step)) &&
					step.tasks.some((task) => isWaiting(task) && !isCrashSuspect(task));
				if (isWaitedFor) {
					return true;
				}
			}
		}
	}

	return false;
};

/**
 * Lets others start beside a suspect that has been isolated for long, if they
 * may start nowhere else. A crash is evidence against all of them then.
 */
export const limitIsolation = (owner: Owner, now: number): void => {
	if (!owner.areListingsRecent) {
		return;
	}

	const usable = listUsable(owner, now);
	for (const executor of owner.executors.values()) {
		if (getReadiness(executor, now) !== 'isolated') {
			continue;
		}

		const runs = [...executor.runs.values()].filter(
			(run) => run.isIsolated && now - run.askedAt >= maxSoleIsolationMs,
		);
		const isSole =
			runs.length > 0 &&
			(usable.length === 0 || isAwaited(owner, executor, usable));
		for (const run of isSole ? runs : []) {
			endIsolation(owner, run);
		}
	}
};

/** Whether a suspect runs there, isolated or not: one at a time is tried. */
const hasSuspectRun = ({runs}: Executor): boolean =>
	[...runs.values()].some(({task}) => isCrashSuspect(task));

const listEligible = (planning: Planning, step: Step): readonly Executor[] =>
	listStepExecutors(planning, step).filter((each) => !hasSuspectRun(each));

const countIsolated = (owner: Owner): number =>
	[...owner.executors.values()].filter(
		(each) => each.unresponsiveSince === undefined && hasIsolatedRun(each),
	).length;

/** Returns how many more executors may be isolated, at least one in all. */
const countAvailable = ({owner, usable}: Planning): number => {
	const isolated = countIsolated(owner);
	const all = usable.length + isolated;
	return Math.max(1, Math.floor(all * maxIsolatedShare)) - isolated;
};

/**
 * How long an executor is kept free for suspects that cannot start there yet,
 * in milliseconds. Their recent runs are over by then; what still takes the
 * room may stay for good.
 */
const maxHoldMs = 2000;

/** How long other tasks may then start there, in milliseconds. */
const holdPauseMs = 2000;

const forgetPastHolds = ({owner, now}: Planning): void => {
	for (const [executorId, since] of owner.suspectHolds) {
		if (now - since >= maxHoldMs + holdPauseMs) {
			owner.suspectHolds.delete(executorId);
		}
	}
};

const mayHold = ({owner, now}: Planning, {id}: Executor): boolean =>
	now - (owner.suspectHolds.get(id) ?? now) < maxHoldMs;

/** Reserves executors for suspects; returns how many. */
const reserve = (
	planning: Planning,
	executors: readonly Executor[],
): number => {
	reserveExecutors(planning, executors);
	return executors.length;
};

/** Executors with room first, then those with the least work to lose. */
const compareForIsolation = (
	step: Step,
	one: Executor,
	two: Executor,
): number =>
	Number(hasRoom(two, step)) - Number(hasRoom(one, step)) ||
	one.used.cpuMillis - two.used.cpuMillis;

/**
 * For how long room may be awaited. On the only executor that is usable nothing
 * else of the service runs meanwhile.
 */
const getMaxWaitMs = ({usable}: Planning): number =>
	usable.length === 1 ? maxReservationMs : Number.POSITIVE_INFINITY;

/**
 * Returns for how many tasks of a step an executor has room once the runs have
 * ended that are expected to end within `withinMs`; long-running ones never are.
 */
const countPlaces = (
	executor: Executor,
	step: Step,
	{now, withinMs}: {readonly now: number; readonly withinMs: number},
): number => {
	if (!couldHold(executor, step) || !mayTakeTaskOf(step, executor)) {
		return 0;
	}

	const room: ResourceSum = {...getFree(executor)};
	for (const run of executor.runs.values()) {
		if (getExpectedRemainingMs(run, now) < withinMs) {
			addTo(room, getDemand(run.task.step));
		}
	}

	const demand = getDemand(step);
	const counts = resourceNames
		.filter((name) => demand[name] > 0)
		.map((name) => Math.max(0, Math.floor(room[name] / demand[name])));
	return Math.min(step.spec.maxPerExecutor ?? step.spec.count, ...counts);
};

/**
 * Reserves executors until they can be isolated: while nothing else starts
 * there, their recent runs end or prove harmless, and others leave room. They
 * are not kept for `count` tasks that will not fit on them, and none for long.
 */
const reserveForLater = (
	planning: Planning,
	step: Step,
	eligible: readonly Executor[],
	{count, executors}: {readonly count: number; readonly executors: number},
): number => {
	const {owner, now} = planning;
	const awaited = {now, withinMs: getMaxWaitMs(planning)};
	const kept = eligible
		.filter(
			(each) => countPlaces(each, step, awaited) > 0 && mayHold(planning, each),
		)
		.toSorted((one, two) => compareForIsolation(step, one, two))
		.slice(0, executors);
	let places = 0;
	for (const each of eligible) {
		const isKept = kept.includes(each);
		places += countPlaces(each, step, isKept ? awaited : {now, withinMs: 0});
	}

	if (places < count) {
		return 0;
	}

	for (const {id} of kept) {
		owner.suspectHolds.set(id, owner.suspectHolds.get(id) ?? now);
	}

	return reserve(planning, kept);
};

/** Starts one suspect; returns how many executors it takes. */
const planSuspect = (planning: Planning, task: Task): number => {
	const {step} = task;
	if (!isWithinTeamCap(planning, task)) {
		return 0;
	}

	const eligible = listEligible(planning, step);
	const fitting = listFitting(eligible, task);
	const [executor] = fitting
		.filter((each) => hasNoRecentRun(each))
		.toSorted((one, two) => compareForIsolation(step, one, two));
	if (executor) {
		const number = nextRunNumber(planning.owner, task);
		const command = startTask(planning, executor, task, {
			number,
			isIsolated: true,
		});
		planning.commands.push(...(command ? [command] : []));
		return reserve(planning, [executor]);
	}

	const mayEvict = fitting.length === 0 && step.spec.isLongRunning;
	if (mayEvict && evictFor(planning, eligible, task)) {
		return 1;
	}

	return reserveForLater(planning, step, eligible, {count: 1, executors: 1});
};

/** Starts a gang of suspects; returns how many executors it takes. */
const planSuspectGang = (
	planning: Planning,
	step: Step,
	available: number,
): number => {
	const eligible = listEligible(planning, step);
	const executors = eligible.filter((each) => hasNoRecentRun(each));
	const taken = startGang(planning, step, {executors, isIsolated: true});
	return taken.length > 0
		? reserve(planning, taken)
		: reserveForLater(planning, step, eligible, {
				count: step.tasks.length,
				executors: available,
			});
};

const mayStart = (owner: Owner, task: Task): boolean => {
	const {step} = task;
	const isReady = step.spec.isGang
		? step.tasks[0] === task && isGangReady(owner, step)
		: isWaiting(task) && isLocationKnown(owner, task);
	return (
		isReady && isStepReady(step) && isCrashSuspect(task) && mayRestart(task)
	);
};

/**
 * Starts the suspects, as many at once as isolation allows. Runs before other
 * tasks are planned, which would use all executors without a recent run.
 */
export const planSuspects = (planning: Planning): void => {
	const {owner} = planning;
	forgetPastHolds(planning);
	const suspects = listSuspects(owner).filter((task) => mayStart(owner, task));
	let available = suspects.length > 0 ? countAvailable(planning) : 0;
	for (const task of suspects) {
		if (available <= 0 || planning.startsLeft <= 0) {
			return;
		}

		available -= task.step.spec.isGang
			? planSuspectGang(planning, task.step, available)
			: planSuspect(planning, task);
	}
};

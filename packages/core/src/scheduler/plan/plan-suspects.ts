/** Starts tasks that may have crashed their executors, each in isolation. */
import {
	hasNoRecentRun,
	isCrashSuspect,
	mayRestart,
} from '../polls/crash-evidence.js';
import {listSuspects} from '../polls/crash-suspects.js';
import {
	couldHold,
	hasIsolatedRun,
	hasRoom,
	isUsable,
	type Executor,
} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {listFitting, maySpreadTo} from '../placement/place-task.js';
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
 * Reserves executors until they can be isolated: while nothing else starts
 * there, their recent runs end or prove harmless. None is reserved for long.
 */
const reserveForLater = (
	planning: Planning,
	step: Step,
	eligible: readonly Executor[],
	count: number,
): number => {
	const {owner, now} = planning;
	const held = eligible
		.filter(
			(each) =>
				couldHold(each, step) &&
				maySpreadTo(step, each) &&
				mayHold(planning, each),
		)
		.toSorted((one, two) => compareForIsolation(step, one, two))
		.slice(0, count);
	for (const {id} of held) {
		owner.suspectHolds.set(id, owner.suspectHolds.get(id) ?? now);
	}

	return reserve(planning, held);
};

/**
 * How long suspects may keep a service from all other work, in milliseconds. A
 * suspect that crashed late is on probation for much longer.
 */
const maxExclusiveMs = 2000;

const findLongestIsolated = ({executors}: Owner): Run | undefined => {
	let longest: Run | undefined;
	for (const {runs, unresponsiveSince} of executors.values()) {
		for (const run of unresponsiveSince === undefined ? runs.values() : []) {
			if (run.isIsolated && run.askedAt < (longest?.askedAt ?? Infinity)) {
				longest = run;
			}
		}
	}

	return longest;
};

/**
 * Ends the isolation that has lasted longest if it leaves a service without a
 * usable executor. Its task stays a suspect.
 */
export const limitExclusiveIsolation = (owner: Owner, now: number): void => {
	if ([...owner.executors.values()].some((each) => isUsable(each, now))) {
		return;
	}

	const longest = findLongestIsolated(owner);
	if (longest && now - longest.askedAt > maxExclusiveMs) {
		for (const {runs} of listCoscheduledTasks(longest.task)) {
			for (const run of runs) {
				run.isIsolated = false;
			}
		}
	}
};

/** Starts one suspect; returns how many executors it takes. */
const planSuspect = (planning: Planning, task: Task): number => {
	const {step} = task;
	if (!isWithinTeamCap(planning, task)) {
		return 0;
	}

	const eligible = listStepExecutors(planning, step);
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

	return reserveForLater(planning, step, eligible, 1);
};

/** Starts a gang of suspects; returns how many executors it takes. */
const planSuspectGang = (
	planning: Planning,
	step: Step,
	available: number,
): number => {
	const eligible = listStepExecutors(planning, step);
	const executors = eligible.filter((each) => hasNoRecentRun(each));
	const taken = startGang(planning, step, {executors, isIsolated: true});
	return taken.length > 0
		? reserve(planning, taken)
		: reserveForLater(planning, step, eligible, available);
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

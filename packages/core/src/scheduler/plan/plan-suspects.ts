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
	type Executor,
} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import {listFitting, mayTakeTaskOf} from '../placement/place-task.js';
import {nextRunNumber} from '../state/run-numbers.js';
import {isStepReady, isWaiting, type Step, type Task} from '../state/task.js';
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
 * there, their recent runs end or prove harmless.
 */
const reserveForLater = (
	planning: Planning,
	step: Step,
	eligible: readonly Executor[],
	count: number,
): number =>
	reserve(
		planning,
		eligible
			.filter((each) => couldHold(each, step) && mayTakeTaskOf(step, each))
			.toSorted((one, two) => compareForIsolation(step, one, two))
			.slice(0, count),
	);

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
	if (mayEvict && evictFor(planning, task)) {
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

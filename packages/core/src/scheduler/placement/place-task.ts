/** Selects the executor for a task, or the runs to preempt for it. */
import {
	acceptsDuration,
	couldHold,
	getDemand,
	getFree,
	getRack,
	hasRoom,
	isUsable,
	type Executor,
} from '../state/executor.js';
import {isSlow} from '../executor-speed/speed-state.js';
import type {Owner} from '../state/owner-state.js';
import type {Run, Step, Task} from '../state/task.js';

/** Reasons why a task is not placed, as texts for operators. */
export const placementRefusals = {
	noExecutor: 'no executor of the service may take work now',
	tooLarge: 'no executor is large enough or has the label',
	spread:
		'all executors that fit hold their share of the step already or are being evacuated',
	noRoom: 'all executors that fit are full',
} as const;

/** Reason why a task is not placed. */
export type PlacementRefusal = keyof typeof placementRefusals;

/** The executor selected for a task, or the reason why there is none. */
export type Placement =
	| {readonly kind: 'placed'; readonly executor: Executor}
	| {readonly kind: 'refused'; readonly reason: PlacementRefusal};

const countOnExecutor = (step: Step, executor: Executor): number => {
	let count = 0;
	for (const {runs} of step.tasks) {
		count += runs.some(({executorId}) => executorId === executor.id) ? 1 : 0;
	}

	return count;
};

/**
 * Whether an executor may take another task of a step: by `maxPerExecutor`, and
 * unless it is about to leave and the task would outlast that.
 */
export const mayTakeTaskOf = (step: Step, executor: Executor): boolean => {
	const {maxPerExecutor} = step.spec;
	return (
		acceptsDuration(executor, step) &&
		(maxPerExecutor === undefined ||
			countOnExecutor(step, executor) < maxPerExecutor)
	);
};

const resourceKinds = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** Weights of what is preferred for a task. */
const weights = {
	/** The task has not failed there before. */
	notWhereItFailed: 4,
	/** The executor is on the rack that holds the task's data. */
	preferredRack: 2,
	/** The executor is slow: more than all others together. */
	slow: -8,
	/** It is slow and to be tested. */
	slowTest: 8,
	/** Its evacuation is requested. */
	isToLeave: -16,
} as const;

/**
 * Slow executors come last. One that is idle and may have recovered comes first
 * for one task of a step that allows copies, so that a copy can replace it.
 */
const getSpeedScore = ({speed, runs}: Executor, {step}: Task): number => {
	if (!isSlow(speed)) {
		return 0;
	}

	const {allowsCopies, isGang} = step.spec;
	const isTest = speed.isTestDue && runs.size === 0 && allowsCopies && !isGang;
	return isTest ? weights.slowTest : weights.slow;
};

const getPreference = (executor: Executor, task: Task): number => {
	const {spec} = task.step;
	const isOnPreferredRack =
		spec.preferredRack !== undefined &&
		getRack(executor) === spec.preferredRack;
	return (
		getSpeedScore(executor, task) +
		(executor.evacuation ? weights.isToLeave : 0) +
		(task.failedOn === executor.id ? 0 : weights.notWhereItFailed) +
		(isOnPreferredRack ? weights.preferredRack : 0)
	);
};

/** Returns the used share of the scarcer resource, cpu or memory, 0 to 1. */
const getUsedShare = (executor: Executor): number => {
	const free = getFree(executor);
	const {capacity} = executor.listed;
	const freeShare = Math.min(
		free.cpuMillis / Math.max(1, capacity.cpuMillis),
		free.memoryMb / Math.max(1, capacity.memoryMb),
	);
	return 1 - freeShare;
};

/** Returns how many turns of earlier starts a start would wait for there. */
export type GetStartTurn = (executor: Executor) => number;

const getNoTurn: GetStartTurn = () => 0;

type Candidate = {
	readonly executor: Executor;
	readonly preference: number;
	readonly turn: number;
	readonly usedShare: number;
};

/**
 * Compares by preference, then by the wait for earlier starts. Beyond that tasks
 * are packed onto busy executors, so that others become idle and their machines
 * can leave the pool.
 */
const isBetter = (one: Candidate, two: Candidate): boolean =>
	(one.preference - two.preference ||
		two.turn - one.turn ||
		one.usedShare - two.usedShare) > 0;

const pickBest = (
	executors: readonly Executor[],
	task: Task,
	getTurn: GetStartTurn,
): Executor | undefined => {
	let best: Candidate | undefined;
	for (const executor of executors) {
		const candidate = {
			executor,
			preference: getPreference(executor, task),
			turn: getTurn(executor),
			usedShare: getUsedShare(executor),
		};
		if (!best || isBetter(candidate, best)) {
			best = candidate;
		}
	}

	return best?.executor;
};

/** Lists the given executors on which a task fits now. */
export const listFitting = (
	executors: readonly Executor[],
	{step}: Task,
): readonly Executor[] =>
	executors.filter(
		(each) =>
			couldHold(each, step) && mayTakeTaskOf(step, each) && hasRoom(each, step),
	);

/** How many more tasks of a step fit on an executor now. */
export const countFitting = (executor: Executor, step: Step): number => {
	const {maxPerExecutor = Number.POSITIVE_INFINITY} = step.spec;
	if (!couldHold(executor, step) || !mayTakeTaskOf(step, executor)) {
		return 0;
	}

	const free = getFree(executor);
	const demand = getDemand(step);
	const count = Math.min(
		maxPerExecutor - countOnExecutor(step, executor),
		...resourceKinds.map((kind) =>
			demand[kind] > 0
				? Math.floor(free[kind] / demand[kind])
				: step.spec.count,
		),
	);
	return Math.max(0, count);
};

/** Selects one of the given executors for a task. */
export const placeTask = (
	executors: readonly Executor[],
	task: Task,
	getTurn: GetStartTurn = getNoTurn,
): Placement => {
	const {step} = task;
	if (executors.length === 0) {
		return {kind: 'refused', reason: 'noExecutor'};
	}

	const capable = executors.filter((each) => couldHold(each, step));
	if (capable.length === 0) {
		return {kind: 'refused', reason: 'tooLarge'};
	}

	const allowed = capable.filter((each) => mayTakeTaskOf(step, each));
	if (allowed.length === 0) {
		return {kind: 'refused', reason: 'spread'};
	}

	const best = pickBest(
		allowed.filter((each) => hasRoom(each, step)),
		task,
		getTurn,
	);
	return best
		? {kind: 'placed', executor: best}
		: {kind: 'refused', reason: 'noRoom'};
};

/**
 * Lists the executors that may be given work now: none while their capacities
 * may have shrunk unseen.
 */
export const listUsable = (owner: Owner, now: number): readonly Executor[] =>
	owner.areListingsRecent
		? [...owner.executors.values()].filter((each) => isUsable(each, now))
		: [];

const isPreemptible = ({task, state}: Run): boolean =>
	state === 'running' && !task.step.spec.isLongRunning;

const isBeingStopped = ({state}: Run): boolean =>
	state === 'stopping' || state === 'barring';

/** An executor that is cleared for a task. */
export type Eviction = {
	readonly executor: Executor;
	/** Runs to stop, beside those that are being stopped already. */
	readonly runs: readonly Run[];
	/** The work lost with them. */
	readonly lostWork: number;
};

const findEvictionOn = (
	executor: Executor,
	step: Step,
): Eviction | undefined => {
	let {cpuMillis, memoryMb, accelerators} = getFree(executor);
	const addRoom = ({task}: Run): void => {
		const freed = getDemand(task.step);
		cpuMillis += freed.cpuMillis;
		memoryMb += freed.memoryMb;
		accelerators += freed.accelerators;
	};

	const demand = getDemand(step);
	const fits = (): boolean =>
		cpuMillis >= demand.cpuMillis &&
		memoryMb >= demand.memoryMb &&
		accelerators >= demand.accelerators;

	const all = [...executor.runs.values()];
	for (const run of all.filter((each) => isBeingStopped(each))) {
		addRoom(run);
	}

	let lostWork = 0;
	const runs: Run[] = [];
	const candidates = all
		.filter((each) => isPreemptible(each))
		.toSorted((one, two) => one.percent - two.percent);
	for (const run of candidates) {
		if (fits()) {
			break;
		}

		addRoom(run);
		lostWork += run.task.step.spec.resources.cpuMillis * run.percent;
		runs.push(run);
	}

	return fits() ? {executor, runs, lostWork} : undefined;
};

/**
 * Selects the executor to clear for a task: the one on which the least work is
 * lost, which is none if enough is being stopped there already.
 */
export const findEviction = (
	executors: readonly Executor[],
	{step}: Task,
): Eviction | undefined => {
	let best: Eviction | undefined;
	for (const executor of executors) {
		if (!couldHold(executor, step) || !mayTakeTaskOf(step, executor)) {
			continue;
		}

		const eviction = findEvictionOn(executor, step);
		if (
			eviction &&
			(!best ||
				eviction.lostWork < best.lostWork ||
				(eviction.lostWork === best.lostWork &&
					eviction.runs.length < best.runs.length))
		) {
			best = eviction;
		}
	}

	return best;
};

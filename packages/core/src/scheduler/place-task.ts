/** Which executor a task is started on, or why none takes it. */
import {
	couldHold,
	getFree,
	getRack,
	hasRoom,
	isUsable,
	type Executor,
} from './executor.js';
import type {Owner} from './owner-state.js';
import type {Run, Step, Task} from './task.js';

/** Why a task is not placed, for `explain`. */
export const placementRefusals = {
	noExecutor: 'no executor of the service may take work now',
	tooLarge: 'no executor is large enough or has the label',
	spread: 'all executors that fit hold their share of the step already',
	noRoom: 'all executors that fit are full',
} as const;

/** Why a task is not placed. */
export type PlacementRefusal = keyof typeof placementRefusals;

/** Where a task goes, or why nowhere. */
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

/** Whether the step may have one more task there. */
export const maySpreadTo = (step: Step, executor: Executor): boolean => {
	const {maxPerExecutor} = step.spec;
	return (
		maxPerExecutor === undefined ||
		countOnExecutor(step, executor) < maxPerExecutor
	);
};

/**
 * Weights of the wishes that a placement may have; larger goes first. Work is
 * packed, so that executors fall idle and their machines can leave the pool.
 */
const weights = {
	/** A task that failed there may fail there again. */
	notWhereItFailed: 4,
	/** Elsewhere the task takes longer by the platform's penalty. */
	preferredRack: 2,
	/** Used share of the executor's processors, from 0 to 1. */
	usedShare: 1,
} as const;

const getScore = (executor: Executor, task: Task): number => {
	const {spec} = task.step;
	const free = getFree(executor);
	const usedShare =
		1 - free.cpuMillis / Math.max(1, executor.listed.capacity.cpuMillis);
	const isNear =
		spec.preferredRack !== undefined &&
		getRack(executor) === spec.preferredRack;
	return (
		(task.failedOn === executor.id ? 0 : weights.notWhereItFailed) +
		(isNear ? weights.preferredRack : 0) +
		usedShare * weights.usedShare
	);
};

const pickBest = (
	executors: readonly Executor[],
	task: Task,
): Executor | undefined => {
	let best: {executor: Executor; score: number} | undefined;
	for (const executor of executors) {
		const score = getScore(executor, task);
		if (!best || score > best.score) {
			best = {executor, score};
		}
	}

	return best?.executor;
};

/** Chooses an executor for a task among those given. */
export const placeTask = (
	executors: readonly Executor[],
	task: Task,
): Placement => {
	const {step} = task;
	if (executors.length === 0) {
		return {kind: 'refused', reason: 'noExecutor'};
	}

	const large = executors.filter((each) => couldHold(each, step));
	if (large.length === 0) {
		return {kind: 'refused', reason: 'tooLarge'};
	}

	const spread = large.filter((each) => maySpreadTo(step, each));
	if (spread.length === 0) {
		return {kind: 'refused', reason: 'spread'};
	}

	const best = pickBest(
		spread.filter((each) => hasRoom(each, step)),
		task,
	);
	return best
		? {kind: 'placed', executor: best}
		: {kind: 'refused', reason: 'noRoom'};
};

/** Executors that may be given work now. */
export const listUsable = (owner: Owner, now: number): readonly Executor[] =>
	[...owner.executors.values()].filter((each) => isUsable(each, now));

const isPreemptible = ({task, state}: Run): boolean =>
	state === 'running' && !task.step.spec.isLongRunning;

/** Runs to stop so that a task fits, with the work that is lost. */
type Eviction = {readonly runs: readonly Run[]; readonly lost: number};

const findEvictionOn = (
	executor: Executor,
	step: Step,
): Eviction | undefined => {
	const free = getFree(executor);
	let {cpuMillis} = free;
	let {memoryMb} = free;
	let lost = 0;
	const runs: Run[] = [];
	const wanted = step.spec.resources;
	const candidates = [...executor.runs.values()]
		.filter((each) => isPreemptible(each))
		.toSorted((one, two) => one.percent - two.percent);
	for (const run of candidates) {
		if (cpuMillis >= wanted.cpuMillis && memoryMb >= wanted.memoryMb) {
			break;
		}

		const {resources} = run.task.step.spec;
		cpuMillis += resources.cpuMillis;
		memoryMb += resources.memoryMb;
		lost += resources.cpuMillis * run.percent;
		runs.push(run);
	}

	return cpuMillis >= wanted.cpuMillis && memoryMb >= wanted.memoryMb
		? {runs, lost}
		: undefined;
};

/** The runs whose stop makes room for a task at the least loss of work. */
export const findEviction = (
	executors: readonly Executor[],
	{step}: Task,
): readonly Run[] => {
	let best: Eviction | undefined;
	for (const executor of executors) {
		if (!couldHold(executor, step) || !maySpreadTo(step, executor)) {
			continue;
		}

		// Room is on its way where something is being stopped already.
		if ([...executor.runs.values()].some(({state}) => state === 'stopping')) {
			return [];
		}

		const eviction = findEvictionOn(executor, step);
		if (eviction && (!best || eviction.lost < best.lost)) {
			best = eviction;
		}
	}

	return best?.runs ?? [];
};

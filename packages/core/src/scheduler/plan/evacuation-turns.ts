/**
 * Turns of the executors whose evacuation is requested. An executor has its turn
 * only if those that stay can run what the service has to run, so that the
 * others serve until one has left and another came in its place. Whoever asks,
 * a wave, a move or several of them, the owner of the service decides.
 */
import {
	couldHold,
	evacuationPhases,
	evacuationUrgencies,
	getDemand,
	getRack,
	isUsableUnlessEvacuated,
	type Evacuation,
	type Executor,
} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import {isStepReady, type Step} from '../state/task.js';
import {
	areLongRunningStoppable,
	getMaxDown,
	groupLongRunning,
	mayStopLongRunning,
} from './long-running-stops.js';

/** An executor whose evacuation is requested. */
type Leaver = {readonly executor: Executor; readonly evacuation: Evacuation};

const urgencyRanks = {
	[evacuationUrgencies.commanded]: 0,
	[evacuationUrgencies.urgent]: 1,
	[evacuationUrgencies.normal]: 2,
} as const;

const isCommanded = ({urgency}: Evacuation): boolean =>
	urgency === evacuationUrgencies.commanded;

/** Those that have their turn come first, then the most urgent and oldest. */
const compareLeavers = (
	{evacuation: one, executor: {id: oneId}}: Leaver,
	{evacuation: two, executor: {id: twoId}}: Leaver,
): number =>
	Number(isCommanded(two)) - Number(isCommanded(one)) ||
	Number(one.turnSince === undefined) - Number(two.turnSince === undefined) ||
	(one.turnSince ?? 0) - (two.turnSince ?? 0) ||
	urgencyRanks[one.urgency] - urgencyRanks[two.urgency] ||
	one.queuedSince - two.queuedSince ||
	Number(oneId > twoId) - Number(oneId < twoId);

const listLeavers = (owner: Owner): readonly Leaver[] => {
	const leavers: Leaver[] = [];
	for (const executor of owner.executors.values()) {
		if (executor.evacuation) {
			leavers.push({executor, evacuation: executor.evacuation});
		}
	}

	return leavers.toSorted((one, two) => compareLeavers(one, two));
};

/** Identifies steps that the same executors could run. */
const getPlaceKey = ({spec}: Step): string => {
	const {resources, requiredLabel, isGang} = spec;
	const {cpuMillis, memoryMb, accelerators} = resources;
	const gang = isGang
		? [
				spec.count,
				spec.maxPerExecutor,
				spec.needsSameRack,
				spec.fillsIdleCapacity,
			].join(' ')
		: '';
	return `${cpuMillis} ${memoryMb} ${accelerators} ${requiredLabel} ${gang} ${spec.isLongRunning}`;
};

/** Lists steps that are ready and not done, one for each kind of place. */
const listOpenSteps = (owner: Owner): readonly Step[] => {
	const steps = new Map<string, Step>();
	for (const {occurrences} of owner.openJobs) {
		for (const {steps: all} of occurrences.values()) {
			for (const step of all) {
				if (step.doneCount < step.spec.count && isStepReady(step)) {
					steps.set(getPlaceKey(step), step);
				}
			}
		}
	}

	return [...steps.values()];
};

/** How many tasks of a step an empty executor holds at once. */
const countPlaces = (executor: Executor, step: Step): number => {
	if (!couldHold(executor, step)) {
		return 0;
	}

	const {cpuMillis, memoryMb, accelerators} = executor.listed.capacity;
	const demand = getDemand(step);
	const fit = (free: number, needed: number) =>
		needed > 0 ? Math.floor(free / needed) : Number.POSITIVE_INFINITY;
	return Math.min(
		step.spec.maxPerExecutor ?? Number.POSITIVE_INFINITY,
		fit(cpuMillis, demand.cpuMillis),
		fit(memoryMb, demand.memoryMb),
		fit(accelerators, demand.accelerators),
	);
};

const couldHoldGang = (
	executors: ReadonlySet<Executor>,
	step: Step,
): boolean => {
	const placesByRack = new Map<string | undefined, number>();
	for (const executor of executors) {
		const rack = step.spec.needsSameRack ? getRack(executor) : undefined;
		const places = placesByRack.get(rack) ?? 0;
		placesByRack.set(rack, places + countPlaces(executor, step));
	}

	return [...placesByRack.values()].some((places) => places >= step.spec.count);
};

/** Whether a task that ends by itself fits beside those that do not. */
const fitsBesideLasting = (executor: Executor, step: Step): boolean => {
	const demand = getDemand(step);
	let {cpuMillis, memoryMb, accelerators} = executor.listed.capacity;
	for (const {task} of executor.runs.values()) {
		if (task.step.spec.isLongRunning) {
			const used = getDemand(task.step);
			cpuMillis -= used.cpuMillis;
			memoryMb -= used.memoryMb;
			accelerators -= used.accelerators;
		}
	}

	return (
		demand.cpuMillis <= cpuMillis &&
		demand.memoryMb <= memoryMb &&
		demand.accelerators <= accelerators
	);
};

/** Whether executors could run a step once their short tasks have ended. */
const couldRun = (executors: ReadonlySet<Executor>, step: Step): boolean => {
	if (step.spec.isGang) {
		return couldHoldGang(executors, step);
	}

	for (const executor of executors) {
		if (
			couldHold(executor, step) &&
			(step.spec.isLongRunning || fitsBesideLasting(executor, step))
		) {
			return true;
		}
	}

	return false;
};

/** What is left to a service as executors get their turns. */
type Draft = {
	readonly owner: Owner;
	/** Executors that may be given work and have no turn. */
	readonly staying: Set<Executor>;
	readonly openSteps: readonly Step[];
	/** Whether an executor is leaving, so that another may come in its place. */
	isOneLeaving: boolean;
	/** Long-running tasks on executors that have their turn, by step. */
	readonly leavingTasks: Map<Step, number>;
};

/**
 * Whether the long-running tasks of an executor may begin to leave it. Those of
 * one step leave one executor after another, unless all of them may be down at
 * once: else each takes room and budget that the others need to become empty.
 */
const mayBeginTurn = (
	{owner, leavingTasks}: Draft,
	{executor, evacuation}: Leaver,
): boolean => {
	if (evacuation.turnSince !== undefined) {
		return true;
	}

	for (const [step, tasks] of groupLongRunning(executor)) {
		const leaving = leavingTasks.get(step) ?? 0;
		const [first] = tasks;
		if (
			(leaving > 0 && leaving + tasks.size > getMaxDown(step)) ||
			(first && !mayStopLongRunning(owner, first))
		) {
			return false;
		}
	}

	return true;
};

const recordLeavingTasks = (
	{leavingTasks}: Draft,
	{executor}: Leaver,
): void => {
	for (const [step, tasks] of groupLongRunning(executor)) {
		leavingTasks.set(step, (leavingTasks.get(step) ?? 0) + tasks.size);
	}
};

/**
 * Whether a service can do without an executor. The last one that could run
 * something leaves only if no other is on its way back, and only for an urgent
 * request while there is work.
 */
const canSpare = (
	{staying, openSteps, isOneLeaving}: Draft,
	{executor, evacuation}: Leaver,
): boolean => {
	const runnable = openSteps.filter((step) => couldRun(staying, step));
	staying.delete(executor);
	const isLast = staying.size === 0;
	const isNeeded = runnable.some((step) => !couldRun(staying, step));
	staying.add(executor);
	if (!isLast && !isNeeded) {
		return true;
	}

	const isIdle = openSteps.length === 0;
	return (
		!isOneLeaving &&
		(isIdle || evacuation.urgency === evacuationUrgencies.urgent)
	);
};

/** What has to leave an executor until it is empty. */
const countLeft = ({runs}: Executor): number => {
	let longRunning = 0;
	for (const {task} of runs.values()) {
		longRunning += task.step.spec.isLongRunning ? 1 : 0;
	}

	return longRunning + Number(runs.size > 0);
};

const wait = (evacuation: Evacuation): void => {
	evacuation.phase = evacuationPhases.waiting;
	evacuation.turnSince = undefined;
	evacuation.heldSince = undefined;
};

const beginTurn = (
	owner: Owner,
	{executor, evacuation}: Leaver,
	now: number,
): void => {
	const left = countLeft(executor);
	if (evacuation.turnSince === undefined || left < evacuation.left) {
		evacuation.progressAt = now;
	}

	evacuation.turnSince ??= now;
	evacuation.left = left;
	if (
		isCommanded(evacuation) ||
		areLongRunningStoppable(owner, executor, now)
	) {
		evacuation.phase = evacuationPhases.held;
		evacuation.heldSince ??= now;
	} else {
		evacuation.phase = evacuationPhases.leaving;
		evacuation.heldSince = undefined;
	}
};

/**
 * Ends a turn that does not get further, so that others have theirs. What was
 * promised still holds.
 */
const restIfStuck = (
	{cfg}: Owner,
	{executor, evacuation}: Leaver,
	now: number,
): void => {
	const {turnSince, progressAt} = evacuation;
	if (turnSince !== undefined && now - progressAt > cfg.evacuationTurnMs) {
		wait(evacuation);
		evacuation.queuedSince = now;
		evacuation.restsUntil =
			Math.max(now, executor.reservedUntil ?? now) + cfg.evacuationRestMs;
	}
};

/** Decides which requested evacuations have their turn now. */
export const updateEvacuationTurns = (owner: Owner, now: number): void => {
	const leavers = listLeavers(owner);
	if (leavers.length === 0) {
		return;
	}

	const executors = [...owner.executors.values()];
	const draft: Draft = {
		owner,
		staying: new Set(
			executors.filter((each) => isUsableUnlessEvacuated(each, now)),
		),
		openSteps: listOpenSteps(owner),
		isOneLeaving: executors.some(
			({reservedUntil}) => reservedUntil !== undefined && reservedUntil > now,
		),
		leavingTasks: new Map(),
	};
	for (const leaver of leavers) {
		const {executor, evacuation} = leaver;
		if (!isCommanded(evacuation)) {
			restIfStuck(owner, leaver, now);
			if (evacuation.restsUntil > now) {
				continue;
			}
		}

		const isServing = draft.staying.has(executor);
		const mayLeave =
			!isServing ||
			isCommanded(evacuation) ||
			(canSpare(draft, leaver) && mayBeginTurn(draft, leaver));
		if (!mayLeave) {
			wait(evacuation);
			continue;
		}

		draft.staying.delete(executor);
		draft.isOneLeaving ||= isServing;
		recordLeavingTasks(draft, leaver);
		beginTurn(owner, leaver, now);
	}
};

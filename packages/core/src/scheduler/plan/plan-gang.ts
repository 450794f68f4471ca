/** Plans the starts of gangs, whose tasks start together or not at all. */
import {isCrashSuspect} from '../polls/crash-evidence.js';
import {getRack, removeRun, type Executor} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import type {Owner} from '../state/owner-state.js';
import type {IncompleteGang} from '../state/incomplete-gangs.js';
import {nextRunNumber} from '../state/run-numbers.js';
import {isWaiting, type Run, type Step} from '../state/task.js';
import {recordTeamUse} from '../ranking/team-use.js';
import {
	isWithinTeamCap,
	listStepExecutors,
	placeStart,
	startTask,
	type Planning,
	type StartCommand,
} from './planning.js';
import {isKnownNotToFit} from './rejected-demands.js';
import {addPendingStart} from './starts-left.js';

/** Whether all tasks of a gang wait and run nowhere. */
export const isGangReady = (owner: Owner, step: Step): boolean =>
	step.tasks.every((task) => isWaiting(task) && isLocationKnown(owner, task));

const groupByRack = (
	executors: readonly Executor[],
): ReadonlyArray<readonly Executor[]> =>
	[...new Set(executors.map((each) => getRack(each)))].map((rack) =>
		executors.filter((each) => getRack(each) === rack),
	);

const listRackGroups = (
	usable: readonly Executor[],
	step: Step,
): ReadonlyArray<readonly Executor[]> =>
	step.spec.needsSameRack ? [...groupByRack(usable), usable] : [usable];

/** How the tasks of a gang are started. */
export type GangStart = {
	/** Executors that may be used. */
	readonly executors: readonly Executor[];
	readonly isIsolated: boolean;
};

/**
 * Starts all tasks of a gang under one run number, or none of them. Returns the
 * executors on which they start.
 */
export const startGang = (
	planning: Planning,
	step: Step,
	{executors, isIsolated}: GangStart,
): readonly Executor[] => {
	const {owner, commands} = planning;
	const [first] = step.tasks;
	if (first && !isWithinTeamCap(planning, first, step.tasks.length)) {
		return [];
	}

	const number = Math.max(
		...step.tasks.map((task) => nextRunNumber(owner, task)),
	);
	for (const group of listRackGroups(executors, step)) {
		const started: StartCommand[] = [];
		for (const task of step.tasks) {
			const placement = placeStart(planning, group, task);
			const command =
				placement.kind === 'placed'
					? startTask(planning, placement.executor, task, {
							number,
							isIsolated,
						})
					: undefined;
			if (!command) {
				break;
			}

			started.push(command);
		}

		if (started.length === step.tasks.length) {
			commands.push(...started);
			return started.map(({executor}) => executor);
		}

		for (const {executor, run} of started) {
			removeRun(executor, run);
			recordTeamUse(planning.teamUse, run.task, -1);
			addPendingStart(planning.pendingStarts, executor, -1);
		}

		planning.startsLeft += started.length;
	}

	return [];
};

/** Starts a gang, if its tasks wait and there is room for all of them. */
export const planGang = (planning: Planning, step: Step): void => {
	const {owner, rejected} = planning;
	if (
		!isKnownNotToFit(rejected, step) &&
		isGangReady(owner, step) &&
		!step.tasks.some((task) => isCrashSuspect(task))
	) {
		const executors = listStepExecutors(planning, step);
		startGang(planning, step, {executors, isIsolated: false});
	}
};

/** Returns the runs of the members that were started; none if one has ended. */
const listPresentRuns = (
	{tasks}: Step,
	{number, missing}: IncompleteGang,
): readonly Run[] => {
	const others = tasks.filter((task) => !missing.has(task));
	const runs = others.flatMap((task) =>
		task.runs.filter(
			(run) =>
				run.number === number &&
				(run.state === 'asked' || run.state === 'running'),
		),
	);
	return runs.length === others.length ? runs : [];
};

const completeGang = (
	planning: Planning,
	step: Step,
	gang: IncompleteGang,
): void => {
	const {owner, commands} = planning;
	const runs = listPresentRuns(step, gang);
	// A member on an executor of its own has to wait for another one.
	if (runs.length === 0 || runs.some(({isIsolated}) => isIsolated)) {
		return;
	}

	// All members carry the same one; a later one may have been listed since.
	if (runs.some((run) => run.startCheckpoint !== run.task.checkpoint)) {
		return;
	}

	const racks = new Set(
		runs.map(({executorId}) => {
			const executor = owner.executors.get(executorId);
			return executor && getRack(executor);
		}),
	);
	const usable = listStepExecutors(planning, step);
	const nearby = step.spec.needsSameRack
		? usable.filter((each) => racks.has(getRack(each)))
		: [];
	for (const task of gang.missing) {
		const placement = [nearby, usable]
			.map((executors) => placeStart(planning, executors, task))
			.find(({kind}) => kind === 'placed');
		const command =
			placement?.kind === 'placed' && isWithinTeamCap(planning, task)
				? startTask(planning, placement.executor, task, {
						number: gang.number,
						isIsolated: false,
					})
				: undefined;
		if (command) {
			gang.missing.delete(task);
			commands.push(command);
		}
	}

	if (gang.missing.size === 0) {
		owner.incompleteGangs.delete(step);
	}
};

/**
 * Sends the starts of missing members again, under the run number of the others,
 * which wait for them. This goes before all other starts, whatever the window.
 */
export const completeGangs = (planning: Planning): void => {
	for (const [step, gang] of planning.owner.incompleteGangs) {
		completeGang(planning, step, gang);
	}
};

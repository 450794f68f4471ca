/**
 * Starts copies of runs that are far behind, and watches which run ends first
 * (speculative execution: LATE, Zaharia et al., OSDI 2008; Mantri,
 * Ananthanarayanan et al., OSDI 2010). Copies are for runs on slow executors: a
 * task that is long by its nature is so everywhere. They only use room that no
 * task waits for. See docs/design/slow-executors.md.
 */
import {getExpectedRunMs} from '../executor-speed/expected-run-time.js';
import {
	getSpeedElsewhere,
	slowLogSpeed,
} from '../executor-speed/relative-speed.js';
import {
	addSpeedEvents,
	type CopyOutcome,
	type TaskCopy,
} from '../executor-speed/speed-memory.js';
import {getSpeedFactor, isSlow} from '../executor-speed/speed-state.js';
import {isCrashSuspect} from '../polls/crash-evidence.js';
import {listAdvisedExecutors} from '../placement/placement-advice.js';
import {placeTask} from '../placement/place-task.js';
import {getDemand, type Executor} from '../state/executor.js';
import {isLocationKnown} from '../state/task-location.js';
import {isInheritanceKnown} from '../state/unread-ends.js';
import type {Owner} from '../state/owner-state.js';
import {nextRunNumber} from '../state/run-numbers.js';
import {
	isStepReady,
	isWaiting,
	type Run,
	type Step,
	type Task,
} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {addResources, noResources} from '../../teams/resources.js';
import {isGangReady} from './plan-gang.js';
import {
	isWithinTeamCap,
	placeStart,
	startTask,
	type Planning,
} from './planning.js';

/** A copy is due if the run takes longer than this many new runs. */
const behindFactor = 2;

/** Maximum share of the usable capacity that copies hold. */
const maxCopyShare = 0.1;

/** Runs elsewhere that show how long a new run of a step takes. */
const minRunsElsewhere = 2;

/** A run that is far behind. */
type Behind = {
	readonly run: Run;
	readonly executor: Executor;
	readonly remainingMs: number;
	/** Expected time of a new run elsewhere. */
	readonly newRunMs: number;
};

/**
 * Whether a run is of a kind that may have a copy. A crash suspect runs alone,
 * and an inherited task may have a copy where no answer came from yet.
 */
const mayHaveCopy = (owner: Owner, {task, state}: Run): boolean => {
	const {spec, occurrence} = task.step;
	const {job} = occurrence;
	return (
		spec.allowsCopies &&
		!spec.isGang &&
		!spec.isLongRunning &&
		!spec.fillsIdleCapacity &&
		state === 'running' &&
		task.runs.length === 1 &&
		!task.isDone &&
		job.end === undefined &&
		!isCrashSuspect(task) &&
		isLocationKnown(owner, task) &&
		(!job.isInherited || isInheritanceKnown(owner))
	);
};

/** Whether a run is a copy or has had one; one that never began is none. */
const hasHadCopy = ({speeds}: Owner, {task, number}: Run): boolean => {
	const copy = speeds.copies.get(task);
	return (
		copy !== undefined &&
		number <= copy.number &&
		(copy.confirmedAt !== undefined || task.runs.includes(copy))
	);
};

/**
 * Returns the expected time of a new run elsewhere, by runs of the step there,
 * else by the speed of a slow executor; `undefined` if there is no sign that a
 * new run would be faster.
 */
const getNewRunMs = (
	{speeds}: Owner,
	{id, speed}: Executor,
	step: Step,
	runMs: number,
): number | undefined => {
	const elsewhere = getSpeedElsewhere(
		speeds.steps.get(step) ?? [],
		id,
		minRunsElsewhere,
	);
	if (elsewhere !== undefined) {
		return getExpectedRunMs(step) / Math.exp(elsewhere);
	}

	return isSlow(speed) ? runMs * getSpeedFactor(speed) : undefined;
};

const findBehind = (
	owner: Owner,
	executor: Executor,
	run: Run,
): Behind | undefined => {
	const {task, percent} = run;
	const track = executor.speed.tracks.get(run);
	if (track?.logSpeed === undefined) {
		return undefined;
	}

	const runMs = getExpectedRunMs(task.step) / Math.exp(track.logSpeed);
	const remainingMs = runMs * (1 - percent / 100);
	const newRunMs = getNewRunMs(owner, executor, task.step, runMs);
	return newRunMs !== undefined && remainingMs > behindFactor * newRunMs
		? {run, executor, remainingMs, newRunMs}
		: undefined;
};

/** Adds a pair of runs that an earlier owner has started. */
const adoptCopy = ({speeds}: Owner, task: Task): void => {
	const [original, copy] = task.runs.toSorted(
		(one, two) => one.number - two.number,
	);
	if (original && copy && speeds.copies.get(task) !== copy) {
		speeds.copies.set(task, copy);
		speeds.openCopies.set(task, {task, original, copy, winner: undefined});
	}
};

const seemsSlow = ({speed}: Executor): boolean =>
	isSlow(speed) || speed.latestLogSpeed < slowLogSpeed;

/** Lists the runs for which a copy is due, the largest gain first. */
const listBehind = (owner: Owner): readonly Behind[] => {
	const behind: Behind[] = [];
	for (const executor of owner.executors.values()) {
		// A silent executor may have been crashed by the task. Its copy would
		// crash another one before the crash is attributed.
		const isSuspect =
			executor.unresponsiveSince === undefined && seemsSlow(executor);
		for (const run of executor.runs.values()) {
			const {task} = run;
			if (!task.step.spec.allowsCopies) {
				continue;
			}

			if (task.runs.length > 1) {
				adoptCopy(owner, task);
			} else if (
				isSuspect &&
				mayHaveCopy(owner, run) &&
				!hasHadCopy(owner, run)
			) {
				const found = findBehind(owner, executor, run);
				behind.push(...(found ? [found] : []));
			}
		}
	}

	return behind.toSorted(
		(one, two) =>
			two.remainingMs - two.newRunMs - (one.remainingMs - one.newRunMs),
	);
};

const getSteps = ({openJobs}: Owner): readonly Step[] =>
	[...openJobs].flatMap(({occurrences}) =>
		[...occurrences.values()].flatMap(({steps}) => steps),
	);

/** Whether a task of a step waits for room, and for nothing else. */
const waitsForRoom = (planning: Planning, step: Step): boolean => {
	const {owner, now, usable} = planning;
	const {spec, doneCount, tasks} = step;
	if (doneCount === spec.count || !isStepReady(step)) {
		return false;
	}

	const task = tasks.find(
		(each) => isWaiting(each) && isLocationKnown(owner, each),
	);
	const count = spec.isGang ? spec.count : 1;
	if (
		!task ||
		(spec.isGang && !isGangReady(owner, step)) ||
		!isWithinTeamCap(planning, task, count)
	) {
		return false;
	}

	const executors = listAdvisedExecutors(owner, step, usable, now);
	const placement = placeTask(executors, task);
	return placement.kind === 'placed' || placement.reason === 'noRoom';
};

const isPair = ({task, original, copy}: TaskCopy): boolean =>
	task.runs.includes(original) && task.runs.includes(copy);

/** Returns the room that copies hold beside their originals. */
const sumCopies = ({speeds}: Owner): Resources => {
	let sum = noResources;
	for (const each of speeds.openCopies.values()) {
		if (isPair(each)) {
			sum = addResources(sum, getDemand(each.task.step));
		}
	}

	return sum;
};

const isWithinShare = (held: Resources, all: Resources): boolean =>
	held.cpuMillis <= maxCopyShare * all.cpuMillis &&
	held.memoryMb <= maxCopyShare * all.memoryMb &&
	held.accelerators <= maxCopyShare * all.accelerators;

/** Lists the executors that may run a copy of a run. */
const listCopyExecutors = (
	{owner, now, usable}: Planning,
	{task, executorId}: Run,
): readonly Executor[] =>
	listAdvisedExecutors(owner, task.step, usable, now).filter(
		(each) => each.id !== executorId && !seemsSlow(each),
	);

/** Starts a copy; returns whether it has found room. */
const startCopy = (planning: Planning, behind: Behind): boolean => {
	const {owner} = planning;
	const {run, remainingMs, newRunMs} = behind;
	const {task} = run;
	const placement = placeStart(
		planning,
		listCopyExecutors(planning, run),
		task,
	);
	if (placement.kind === 'refused' || !isWithinTeamCap(planning, task)) {
		return false;
	}

	const number = nextRunNumber(owner, task);
	const {executor} = placement;
	const command = startTask(planning, executor, task, {
		number,
		isIsolated: false,
	});
	if (!command) {
		return false;
	}

	planning.commands.push(command);
	const copy = command.run;
	const {speeds} = owner;
	speeds.copies.set(task, copy);
	speeds.openCopies.set(task, {task, original: run, copy, winner: undefined});
	addSpeedEvents(speeds, [
		{
			kind: 'copy-started',
			taskId: task.id,
			run: run.number,
			executorId: run.executorId,
			percent: run.percent,
			remainingMs,
			copy: number,
			copyExecutorId: executor.id,
			copyMs: newRunMs,
		},
	]);
	return true;
};

/**
 * Starts copies of runs that are far behind, if no task waits for room. Must be
 * called after everything else is planned.
 */
export const planCopies = (planning: Planning): void => {
	const {owner, usable} = planning;
	if (!owner.cfg.avoidsSlowExecutors) {
		return;
	}

	const behind = listBehind(owner);
	if (
		behind.length === 0 ||
		planning.startsLeft <= 0 ||
		getSteps(owner).some((step) => waitsForRoom(planning, step))
	) {
		return;
	}

	let capacity = noResources;
	for (const {listed} of usable) {
		capacity = addResources(capacity, listed.capacity);
	}

	let held = sumCopies(owner);
	for (const each of behind) {
		if (planning.startsLeft <= 0) {
			return;
		}

		const next = addResources(held, getDemand(each.run.task.step));
		if (isWithinShare(next, capacity) && startCopy(planning, each)) {
			held = next;
		}
	}
};

const getOutcome = ({
	task,
	copy,
	winner,
}: TaskCopy): CopyOutcome | undefined => {
	if (winner !== undefined) {
		return winner === copy.number ? 'won' : 'lost';
	}

	const isOpen =
		!task.isDone &&
		task.step.occurrence.job.end === undefined &&
		task.runs.includes(copy);
	return isOpen ? undefined : 'ended';
};

/** Forgets the copies whose outcome is known. */
export const settleCopies = ({speeds}: Owner): void => {
	for (const [task, each] of speeds.openCopies) {
		const outcome = getOutcome(each);
		if (outcome) {
			speeds.openCopies.delete(task);
			addSpeedEvents(speeds, [
				{
					kind: 'copy-ended',
					taskId: task.id,
					copy: each.copy.number,
					executorId: each.copy.executorId,
					outcome,
				},
			]);
		}
	}
};

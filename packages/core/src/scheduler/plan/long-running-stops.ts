/**
 * Which long-running tasks may be stopped so that their executor can leave:
 * within the disruption budget of their step, and if another executor has room.
 */
import {listUsable, placeTask} from '../placement/place-task.js';
import {evacuationUrgencies, type Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Run, Step, Task} from '../state/task.js';

/** Progress at which a long-running task has started up. */
const readyPercent = 100;

/** An unresponsive executor may be lost, and its runs with it. */
const isResponsive = ({executors}: Owner, {executorId}: Run): boolean => {
	const executor = executors.get(executorId);
	return executor !== undefined && executor.unresponsiveSince === undefined;
};

const isReady = (owner: Owner, {runs}: Task): boolean =>
	runs.some(
		(run) =>
			run.state === 'running' &&
			run.percent >= readyPercent &&
			run.mayStopUntil === undefined &&
			isResponsive(owner, run),
	);

/** Most tasks of a long-running step that may be down at once. */
export const getMaxDown = ({spec}: Step): number => spec.mayMiss ?? 1;

/**
 * Whether long-running tasks of one step may be stopped at once within its
 * disruption budget, which defaults to one task. This holds also for tasks that
 * were starting up when last polled, since they may be ready by now.
 */
const mayStopTogether = (
	owner: Owner,
	step: Step,
	tasks: ReadonlySet<Task>,
): boolean => {
	const othersNotReady = step.tasks.filter(
		(each) => !tasks.has(each) && !isReady(owner, each),
	).length;
	return othersNotReady + tasks.size <= getMaxDown(step);
};

/** Whether a long-running task may be stopped within its disruption budget. */
export const mayStopLongRunning = (owner: Owner, task: Task): boolean =>
	mayStopTogether(owner, task.step, new Set([task]));

/** Whether an executor that may be given work has room for a task. */
export const hasRoomElsewhere = (
	owner: Owner,
	task: Task,
	now: number,
): boolean => placeTask(listUsable(owner, now), task).kind === 'placed';

const isStopped = ({state}: Run): boolean =>
	state === 'stopping' || state === 'barring';

/** Lists the long-running tasks on an executor by step, those apart that stop. */
export const groupLongRunning = ({
	runs,
}: Executor): ReadonlyMap<Step, ReadonlySet<Task>> => {
	const tasks = new Map<Step, Set<Task>>();
	for (const run of runs.values()) {
		const {task} = run;
		if (task.step.spec.isLongRunning && !isStopped(run)) {
			tasks.set(task.step, (tasks.get(task.step) ?? new Set<Task>()).add(task));
		}
	}

	return tasks;
};

/**
 * Whether a task that fits nowhere else has waited long enough for an executor
 * that it fits on.
 */
const isRoomWaitOver = (
	{cfg}: Owner,
	{evacuation}: Executor,
	now: number,
): boolean => {
	if (evacuation?.turnSince === undefined) {
		return false;
	}

	const {turnSince, patienceMs, urgency} = evacuation;
	const waitMs = urgency === evacuationUrgencies.normal ? cfg.roomWaitMs : 0;
	return now - turnSince >= patienceMs + waitMs;
};

/**
 * Whether a long-running task may be stopped to evacuate its executor. Without
 * room elsewhere it stays down until another executor comes, so that all of its
 * step must be able to leave at once: the rest could not follow it.
 */
export const mayStopToLeave = (
	owner: Owner,
	executor: Executor,
	task: Task,
	now: number,
): boolean =>
	mayStopLongRunning(owner, task) &&
	(hasRoomElsewhere(owner, task, now) ||
		(isRoomWaitOver(owner, executor, now) &&
			mayStopTogether(
				owner,
				task.step,
				groupLongRunning(executor).get(task.step) ?? new Set([task]),
			)));

/** Whether all long-running tasks on an executor may be stopped at once. */
export const areLongRunningStoppable = (
	owner: Owner,
	executor: Executor,
	now: number,
): boolean => {
	for (const run of executor.runs.values()) {
		const isStarting = run.state === 'asked' || run.state === 'unsettled';
		if (run.task.step.spec.isLongRunning && isStarting) {
			return false;
		}
	}

	for (const [step, tasks] of groupLongRunning(executor)) {
		if (
			!mayStopTogether(owner, step, tasks) ||
			![...tasks].every((task) => mayStopToLeave(owner, executor, task, now))
		) {
			return false;
		}
	}

	return true;
};

/** Takes the speeds of runs from polls, and decides which executors are slow. */
import type {ExecutorPoll} from '../polls/poll-answer.js';
import {getRack, getRunKey, type Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Run} from '../state/task.js';
import {getExpectedRunMs} from './expected-run-time.js';
import {
	beginReadings,
	recordDoneRun,
	recordRunning,
	type RunReading,
} from './run-speed.js';
import {decideSlowExecutors, decisionIntervalMs} from './slow-executors.js';
import {addSpeedEvents} from './speed-memory.js';

/**
 * Whether the progress of a run says how fast its executor is. Gangs wait for
 * their slowest member, and tasks away from their data take longer.
 */
const isMeasurable = (executor: Executor, {task}: Run): boolean => {
	const {isGang, isLongRunning, fillsIdleCapacity, preferredRack} =
		task.step.spec;
	return (
		!isGang &&
		!isLongRunning &&
		!fillsIdleCapacity &&
		(preferredRack === undefined || preferredRack === getRack(executor))
	);
};

const toReading = (
	key: string,
	{task, confirmedClockMs}: Run,
	percent: number,
	clockMs: number,
): RunReading => ({
	key,
	step: task.step,
	expectedMs: getExpectedRunMs(task.step),
	percent,
	clockMs,
	// From a checkpoint, a run begins with the progress that this has saved.
	startedClockMs: task.checkpoint ? undefined : confirmedClockMs,
});

/** Records which of the original and the copy of a task was done first. */
const recordWinner = ({speeds}: Owner, {task, number}: Run): void => {
	const copy = task.isDone ? undefined : speeds.openCopies.get(task);
	if (copy) {
		copy.winner ??= number;
	}
};

/**
 * Records the progress and the ends that a poll lists. Must be called before the
 * poll is applied, which removes the runs that have ended.
 */
export const recordSpeeds = (
	owner: Owner,
	executor: Executor,
	{running, ends, clockMs, receivedAt: now}: ExecutorPoll,
): void => {
	const {speed, runs} = executor;
	beginReadings(speed, clockMs);
	for (const {taskId, run: number, percent} of running) {
		const key = getRunKey(taskId, number);
		const run = runs.get(key);
		if (run && isMeasurable(executor, run)) {
			recordRunning(speed, toReading(key, run, percent, clockMs), now);
		}
	}

	for (const {taskId, run: number, how} of ends) {
		const key = getRunKey(taskId, number);
		const run = runs.get(key);
		if (run && how === 'done') {
			recordWinner(owner, run);
			if (isMeasurable(executor, run)) {
				recordDoneRun(speed, toReading(key, run, 100, clockMs), now);
			}
		}
	}

	for (const key of speed.tracks.keys()) {
		if (!runs.has(key)) {
			speed.tracks.delete(key);
		}
	}
};

/** Decides anew which executors are slow, at most every 250 ms. */
export const updateSlowExecutors = (
	owner: Owner,
	usable: number,
	now: number,
): void => {
	const {speeds: memory, executors} = owner;
	if (now - memory.decidedAt < decisionIntervalMs) {
		return;
	}

	memory.decidedAt = now;
	const {steps, changes} = decideSlowExecutors(
		{
			speeds: new Map([...executors].map(([id, {speed}]) => [id, speed])),
			usable,
			isIdle: (id) => executors.get(id)?.runs.size === 0,
		},
		now,
	);
	memory.steps = steps;
	addSpeedEvents(memory, changes);
};

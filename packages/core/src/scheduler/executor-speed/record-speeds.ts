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

const toReading = (run: Run, percent: number, clockMs: number): RunReading => ({
	key: run,
	step: run.task.step,
	expectedMs: getExpectedRunMs(run.task.step),
	percent,
	clockMs,
	// From a checkpoint, a run begins with the progress that this has saved.
	startedClockMs: run.task.checkpoint ? undefined : run.confirmedClockMs,
});

/** Records which of the original and the copy of a task was done first. */
const recordWinner = ({speeds}: Owner, {task, number}: Run): void => {
	const copy = task.isDone ? undefined : speeds.openCopies.get(task);
	if (copy) {
		copy.winner ??= number;
	}
};

/**
 * Records the runs that a poll lists as done. Must be called before the poll is
 * applied, which removes them.
 */
export const recordDoneRuns = (
	owner: Owner,
	executor: Executor,
	{ends, clockMs, receivedAt: now}: ExecutorPoll,
): void => {
	const {speed, runs} = executor;
	beginReadings(speed, clockMs);
	for (const {taskId, run: number, how} of ends) {
		const run = how === 'done' && runs.get(getRunKey(taskId, number));
		if (run) {
			recordWinner(owner, run);
			if (isMeasurable(executor, run)) {
				recordDoneRun(speed, toReading(run, 100, clockMs), now);
			}
		}
	}
};

const forgetEnded = ({speed, runs}: Executor): void => {
	const current = new Set<object>(runs.values());
	for (const key of speed.tracks.keys()) {
		if (!current.has(key)) {
			speed.tracks.delete(key);
		}
	}
};

/** Records the progress of the runs after a poll has been applied. */
export const recordProgresses = (
	executor: Executor,
	{clockMs, sentAt, receivedAt: now}: ExecutorPoll,
): void => {
	const {speed, runs} = executor;
	let tracked = 0;
	for (const run of runs.values()) {
		// A run that was confirmed since may not be listed yet.
		const isListed =
			run.percent > 0 ||
			(run.confirmedAt !== undefined && run.confirmedAt <= sentAt);
		if (isListed && isMeasurable(executor, run)) {
			recordRunning(speed, toReading(run, run.percent, clockMs), now);
			tracked += 1;
		}
	}

	if (speed.tracks.size > tracked) {
		forgetEnded(executor);
	}
};

/** Decides anew which executors are slow, at most every 250 ms. */
export const updateSlowExecutors = (
	owner: Owner,
	usable: number,
	now: number,
): void => {
	const {speeds: memory, executors} = owner;
	// With none usable, for example while the registry cannot be read, the limit
	// would be 0 and all slow executors would count as sound.
	const isDue = now - memory.decidedAt >= decisionIntervalMs;
	if (!owner.cfg.avoidsSlowExecutors || usable === 0 || !isDue) {
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

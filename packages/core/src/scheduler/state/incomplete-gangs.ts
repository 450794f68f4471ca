/**
 * Gangs of which some members were started, and others certainly not. Nothing
 * of such a gang works, and its members end alone unless it is completed.
 */
import type {Owner} from './owner-state.js';
import {isOwnRunNumber} from './run-numbers.js';
import type {Run, Step, Task} from './task.js';

/** The run of a gang that misses members. */
export type IncompleteGang = {
	/** Number of the run, which all members share. */
	readonly number: number;
	/** Members whose starts were turned away or not sent. */
	readonly missing: Set<Task>;
};

const isPresent = (task: Task, number: number): boolean =>
	task.runs.some((run) => run.number === number);

/** Notes that a start was certainly not carried out; its run is removed. */
export const noteTurnedAway = (
	{incompleteGangs}: Owner,
	{task, number}: Run,
): void => {
	const {step} = task;
	if (!step.spec.isGang || task.lastRun !== number) {
		return;
	}

	const known = incompleteGangs.get(step);
	if (known?.number === number) {
		known.missing.add(task);
	} else {
		incompleteGangs.set(step, {number, missing: new Set([task])});
	}
};

/** Whether members of the run wait for the missing ones. */
const isAwaited = (step: Step, {number, missing}: IncompleteGang): boolean =>
	step.occurrence.job.end === undefined &&
	[...missing].every(
		({isDone, runs, lastRun}) =>
			!isDone && runs.length === 0 && lastRun === number,
	) &&
	step.tasks.some((task) => isPresent(task, number));

/** Forgets the gangs whose members have all ended, or that began anew. */
export const forgetEndedGangs = ({incompleteGangs}: Owner): void => {
	for (const [step, gang] of incompleteGangs) {
		if (!isAwaited(step, gang)) {
			incompleteGangs.delete(step);
		}
	}
};

/**
 * How long the members of a gang wait for missing ones, in milliseconds, before
 * they are stopped.
 */
const maxIncompleteMs = 1500;

/**
 * Whether a member has waited too long for others of its gang, whatever became
 * of these. Of the runs of earlier owners not all need be known.
 */
export const hasWaitedForGang = (
	owner: Owner,
	{task: {step}, number, state, percent, askedAt}: Run,
	now: number,
): boolean =>
	step.spec.isGang &&
	state === 'running' &&
	percent === 0 &&
	now - askedAt > maxIncompleteMs &&
	isOwnRunNumber(owner, number) &&
	step.tasks.some((task) => !task.isDone && !isPresent(task, number));

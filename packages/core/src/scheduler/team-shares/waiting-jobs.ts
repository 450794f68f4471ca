/** What the open jobs wait for, and what the teams run. */
import {isCrashSuspect} from '../polls/crash-evidence.js';
import type {RankedJob} from '../ranking/rank.js';
import {getDemand} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import {
	isStepReady,
	isWaiting,
	type Job,
	type Step,
	type Task,
} from '../state/task.js';
import {isLocationKnown} from '../state/task-location.js';
import {
	addTo,
	createSum,
	getSum,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';
import type {RoomClaim} from './fair-order.js';

/** A ready step with tasks that could start now. */
export type WaitingStep = {
	readonly step: Step;
	/** The first of these tasks. */
	readonly first: Task;
	readonly count: number;
};

/** A ranked job and what it waits for. */
export type WaitingJob = RoomClaim & {
	readonly ranked: RankedJob;
	readonly steps: readonly WaitingStep[];
};

/** Whether a task of a ready step could start now, given room. */
export const couldStart = (owner: Owner, task: Task): boolean =>
	isWaiting(task) && isLocationKnown(owner, task) && !isCrashSuspect(task);

const findWaitingStep = (owner: Owner, step: Step): WaitingStep | undefined => {
	if (step.doneCount === step.spec.count || !isStepReady(step)) {
		return undefined;
	}

	let first: Task | undefined;
	let count = 0;
	for (const task of step.tasks) {
		if (couldStart(owner, task)) {
			first ??= task;
			count += 1;
		}
	}

	return first && {step, first, count};
};

/** Lists the ready steps of a job that wait for room. */
export const listWaitingSteps = (
	owner: Owner,
	job: Job,
): readonly WaitingStep[] => {
	const waiting: WaitingStep[] = [];
	for (const {steps} of job.occurrences.values()) {
		for (const step of steps) {
			const found = findWaitingStep(owner, step);
			if (found) {
				waiting.push(found);
			}
		}
	}

	return waiting;
};

/** Adds to each ranked job what it waits for. */
export const listWaitingJobs = (
	owner: Owner,
	ranked: readonly RankedJob[],
): readonly WaitingJob[] =>
	ranked.map((each) => {
		const steps = listWaitingSteps(owner, each.job);
		const demand = createSum();
		for (const {step, count} of steps) {
			addTo(demand, getDemand(step), count);
		}

		return {ranked: each, team: each.job.accepted.team, steps, demand};
	});

/**
 * Sums what each team runs by what it takes of the room: all runs until their
 * end is known.
 */
export const sumRunsByTeam = (
	owner: Owner,
): ReadonlyMap<TeamKey, ResourceSum> => {
	const sums = new Map<TeamKey, ResourceSum>();
	for (const {runs} of owner.executors.values()) {
		for (const {task} of runs.values()) {
			const {team} = task.step.occurrence.job.accepted;
			addTo(getSum(sums, team), getDemand(task.step));
		}
	}

	return sums;
};

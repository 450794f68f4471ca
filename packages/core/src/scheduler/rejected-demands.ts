/**
 * What the executors are full for, during one plan. Room only shrinks while a
 * plan is made, so that a step which asks for as much as one that found no
 * room, or more, finds none either and need not be tried. Without it each plan
 * asked all executors for every job that waits: 41,640 questions a plan with
 * 1,100 jobs and 20 executors, in place of some 2,600.
 */
import {getDemand, hasRoom, type Executor} from './executor.js';
import type {Step} from './task.js';
import type {Resources} from './types.js';

/** The least demands known to find no room. */
export type RejectedDemands = {demands: readonly Resources[]};

/** Nothing is known yet. */
export const createRejectedDemands = (): RejectedDemands => ({demands: []});

const isAtLeast = (one: Resources, two: Resources): boolean =>
	one.cpuMillis >= two.cpuMillis &&
	one.memoryMb >= two.memoryMb &&
	one.accelerators >= two.accelerators;

/** Whether a task of a step certainly finds no room in this plan. */
export const isKnownNotToFit = (
	{demands}: RejectedDemands,
	step: Step,
): boolean => {
	const wanted = getDemand(step);
	return demands.some((each) => isAtLeast(wanted, each));
};

/**
 * Notes that a step was refused. Only want of room counts for others: a label,
 * the spread of a step or advice keep other steps from nothing.
 */
export const recordRejectedDemand = (
	full: RejectedDemands,
	usable: readonly Executor[],
	step: Step,
): void => {
	if (
		isKnownNotToFit(full, step) ||
		usable.some((each) => hasRoom(each, step))
	) {
		return;
	}

	const wanted = getDemand(step);
	full.demands = [
		...full.demands.filter((each) => !isAtLeast(each, wanted)),
		wanted,
	];
};

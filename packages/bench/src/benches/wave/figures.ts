/** Figures and checks of completed waves. */
import {check} from '../../frame/check.js';
import type {Check, Figures} from '../../frame/types.js';
import type {Outcome} from './plan.js';

const round = (value: number) => Math.round(value * 100) / 100;

const mean = (
	outcomes: readonly Outcome[],
	getValue: (each: Outcome) => number,
) => outcomes.reduce((sum, each) => sum + getValue(each), 0) / outcomes.length;

/** Means over runs of one plan with different seeds. */
export const getFigures = (outcomes: readonly Outcome[]): Figures => {
	const getMean = (getValue: (each: Outcome) => number) =>
		round(mean(outcomes, getValue));
	return {
		rollOutHours: getMean((each) => each.hours),
		hoursToNineTenths: getMean((each) => each.hoursToMost),
		moves: getMean((each) => each.moves),
		secondMoves: getMean((each) => each.secondMoves),
		bufferCoreHours: getMean((each) => each.bufferCoreHours),
		emptyingCoreHours: getMean((each) => each.emptyingCoreHours),
		repeatedCoreHours: getMean((each) => each.repeatedCoreHours),
		queuedJobHours: getMean((each) => each.queuedJobHours),
		done: getMean((each) => each.done),
		skipped: getMean((each) => each.skipped),
		losses: getMean((each) => each.losses),
		lossesUnderKeep: getMean((each) => each.lossesUnderKeep),
		takes: getMean((each) => each.takes),
		takesBeforeListed: getMean((each) => each.takesBeforeListed),
	};
};

/** Processor time of the steps, each step by the least of all runs. */
export const getStepFigures = (outcomes: readonly Outcome[]): Figures => {
	const [first, ...rest] = outcomes.map(({stepMs}) => stepMs);
	const least = first!
		.map((each, index) => Math.min(each, ...rest.map((run) => run[index]!)))
		.toSorted((a, b) => a - b);
	const sum = least.reduce((total, each) => total + each, 0);
	return {
		steps: least.length,
		stepMeanMs: round(sum / least.length),
		stepP99Ms: round(least[Math.floor(least.length * 0.99)]!),
		stepMaxMs: round(least.at(-1)!),
		stepMaxFirstRunMs: round(Math.max(...first!)),
		indexMs: round(Math.min(...outcomes.map(({indexMs}) => indexMs))),
	};
};

const sum = (
	outcomes: readonly Outcome[],
	getValue: (each: Outcome) => number,
) => outcomes.reduce((total, each) => total + getValue(each), 0);

/** Checks by the log alone that no availability budget was exceeded. */
export const checkBudgets = (
	name: string,
	outcomes: readonly Outcome[],
): Check[] => [
	check(
		`${name}: planned away above maxAway`,
		sum(outcomes, (each) => each.overMaxAway),
		'==',
		0,
	),
	check(
		`${name}: takes while loss used the budget`,
		sum(outcomes, (each) => each.takesOnLoss),
		'==',
		0,
	),
	check(
		`${name}: takes that left fewer than kept`,
		sum(outcomes, (each) => each.underKeep),
		'==',
		0,
	),
];

/** Checks that no job moved twice unless its new worker had failed. */
export const checkMoves = (name: string, outcomes: readonly Outcome[]): Check =>
	check(
		`${name}: jobs moved again without a failure`,
		sum(outcomes, (each) => each.secondMoves),
		'==',
		0,
	);

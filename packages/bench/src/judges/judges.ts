/** One judge for each line of the brief's "What must always hold". */
import * as change from './change-judges.js';
import * as instance from './instance-judges.js';
import type {Judge} from './records.js';
import * as request from './request-judges.js';

/** A property, its judge and the records that it reads. */
export type JudgedProperty = {
	readonly property: string;
	readonly judge: Judge;
	readonly reads: string;
};

/** All judges, in the order of the brief. */
export const judgedProperties: readonly JudgedProperty[] = [
	{
		property: 'no availability budget is overspent',
		judge: instance.judgeBudgets,
		reads: "the store's history, losses",
	},
	{
		property: 'each instance belongs to exactly one pool',
		judge: instance.judgeOnePool,
		reads: "the store's history, executors' logs",
	},
	{
		property: 'whole answers to their own requests',
		judge: request.judgeWholeAnswers,
		reads: "callers' answers",
	},
	{
		property: 'told not-run means not run',
		judge: request.judgeNotRun,
		reads: "callers' answers, executors' logs",
	},
	{
		property: 'what may not be repeated runs at most once',
		judge: request.judgeAtMostOnce,
		reads: "executors' logs",
	},
	{
		property: 'a leaving upstream receives no new work',
		judge: instance.judgeLeaving,
		reads: "the store's history, executors' logs",
	},
	{
		property: 'a planned stop cuts off no request',
		judge: instance.judgeGracefulStops,
		reads: "the platform's reboots, executors' logs",
	},
	{
		property: 'an accepted change is in force and never reverts',
		judge: change.judgeChanges,
		reads: "operators' acceptances, callers' probes",
	},
];

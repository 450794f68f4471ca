/** The invariants of the system, each with its checker. */
import * as change from './change-checkers.js';
import * as instance from './instance-checkers.js';
import * as request from './request-checkers.js';
import type {Checker} from './records.js';

/** A property, its checker and a description of the records it reads. */
export type CheckedProperty = {
	readonly property: string;
	readonly checkRecords: Checker;
	readonly reads: string;
};

/** All checked properties. */
export const checkedProperties: readonly CheckedProperty[] = [
	{
		property: 'no availability budget is overspent',
		checkRecords: instance.checkBudgets,
		reads: "the store's history, losses",
	},
	{
		property: 'each instance belongs to exactly one pool',
		checkRecords: instance.checkOnePool,
		reads: "the store's history, executors' logs",
	},
	{
		property: 'whole answers to their own requests',
		checkRecords: request.checkWholeAnswers,
		reads: "callers' answers",
	},
	{
		property: 'told not-run means not run',
		checkRecords: request.checkNotRun,
		reads: "callers' answers, executors' logs",
	},
	{
		property: 'what may not be repeated runs at most once',
		checkRecords: request.checkAtMostOnce,
		reads: "executors' logs",
	},
	{
		property: 'a leaving upstream receives no new work',
		checkRecords: instance.checkLeaving,
		reads: "the store's history, executors' logs",
	},
	{
		property: 'a planned stop cuts off no request',
		checkRecords: instance.checkGracefulStops,
		reads: "the platform's reboots, executors' logs",
	},
	{
		property: 'an accepted change is in force and never reverts',
		checkRecords: change.checkChanges,
		reads: "operators' acceptances, callers' probes",
	},
];

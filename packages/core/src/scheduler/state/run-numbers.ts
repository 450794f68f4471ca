/** Numbers of runs, which grow across owners, since fencing tokens do. */
import type {Owner} from './owner-state.js';
import type {Task} from './task.js';

/** Range of run numbers of one owner, by its fencing token. */
const runsPerToken = 10_000;

/** Returns the number of the next run of a task. */
export const nextRunNumber = ({token}: Owner, {lastRun}: Task): number =>
	Math.max(lastRun, token * runsPerToken) + 1;

/** Whether this owner, and none before it, started a run with that number. */
export const isOwnRunNumber = ({token}: Owner, number: number): boolean =>
	number > token * runsPerToken;

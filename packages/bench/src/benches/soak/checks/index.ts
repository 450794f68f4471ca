/** All checks of a soak. */
import type {Break, History} from './history.js';
import * as runs from './runs.js';
import * as service from './service.js';
import * as standing from './standing.js';
import * as states from './states.js';
import * as steps from './steps.js';
import * as waves from './waves.js';

export const soakChecks: Readonly<
	Record<string, (history: History) => readonly Break[]>
> = {
	'TWICE: runs of a task beside or after one another': runs.findRepeats,
	'ORDER: starts before their turn': runs.findEarlyStarts,
	'BUDGET: starts after too many failures': runs.findExcessAttempts,
	'LIMIT: starts beyond the capacity': runs.findOverload,
	'ROUTE: starts where they do not belong': runs.findMisplaced,
	'UNASKED, REFUSED: starts that nobody asked for': runs.findUnasked,
	'UNASKED: runs after a cancel': runs.findRunsAfterCancel,
	'UNASKED: runs of jobs cancelled as unknown': runs.findRunsOfUnknown,
	'GANG: members that ended alone': steps.findLoneMembers,
	'AVAIL: stops beside tasks that are away': steps.findUnallowedStops,
	'LOST: jobs unknown or ended without cause': states.findLostJobs,
	'LOST: jobs that have not ended': states.findUnendedJobs,
	'LOST: jobs that stand with room free': standing.findStanding,
	'LOST: requests cut off by planned work': service.findCutRequests,
	'MIXED: states that are wrong': states.findMixedStates,
	'LIMIT: upkeeps beyond the cap': waves.findCrowdedWaves,
	'MIXED: waves completed too early': waves.findEarlyCompletions,
	'Duty: waves completed too late': waves.findLateWaves,
	'Duty: waves without progress': waves.findStalledWaves,
	'ONE: machines with two holders': waves.findContestedOrders,
	'Acks: ends not taken note of': service.findUnnotedEnds,
	'Acks: cancels without an answer': service.findUnansweredCancels,
	'Fault: processes that end by themselves': service.findEndedProcesses,
};

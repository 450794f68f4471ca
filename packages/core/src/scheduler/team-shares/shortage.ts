/**
 * Whether room is short: whether work that can still be in time waits and does
 * not fit into the room that is free. Work that waits for something else, such
 * as the cap of its team or an executor that is large enough, does not count.
 */
import {resourceNames} from '../../teams/resources.js';
import {maySpreadTo} from '../placement/place-task.js';
import {mayTeamStart, type TeamUse} from '../ranking/team-use.js';
import {
	couldHold,
	getDemand,
	getFree,
	hasRoom,
	type Executor,
} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Step} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {
	addTo,
	createSum,
	getSum,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';
import type {WaitingJob, WaitingStep} from './waiting-jobs.js';

/** Where work may start, and what the teams use of their caps. */
export type Room = {
	readonly usable: readonly Executor[];
	readonly teamUse: TeamUse;
};

/** A step that waits for room, and the team that it belongs to. */
type Waiting = WaitingStep & {readonly team: TeamKey};

/** Long-running tasks go first, so in-time work gets what they leave. */
const listWaitingForRoom = (
	owner: Owner,
	{usable, teamUse}: Room,
	jobs: readonly WaitingJob[],
): readonly Waiting[] =>
	jobs
		.filter(
			({ranked: {timeliness}}) =>
				timeliness === 'in-time' || timeliness === 'lasting',
		)
		.flatMap(({team, steps}) => steps.map((each) => ({...each, team})))
		.filter(
			({step, tasks: [task]}) =>
				task !== undefined &&
				mayTeamStart(owner, teamUse, task) &&
				usable.some((each) => couldHold(each, step)),
		);

/** Lowers what a team waits for to what its share of the cap leaves. */
const limitToCap = (
	owner: Owner,
	teamUse: TeamUse,
	team: TeamKey,
	sum: ResourceSum,
): Resources => {
	const limit = team === undefined ? undefined : owner.capLimits.get(team);
	if (team === undefined || !limit) {
		return sum;
	}

	const used = teamUse.get(team) ?? createSum();
	const limited = {...sum};
	for (const name of resourceNames) {
		const left = Math.max(0, limit.share[name] - used[name]);
		limited[name] = limit.cap[name] > 0 ? Math.min(sum[name], left) : sum[name];
	}

	return limited;
};

const sumWaiting = (
	owner: Owner,
	teamUse: TeamUse,
	waiting: readonly Waiting[],
): Resources => {
	const sums = new Map<TeamKey, ResourceSum>();
	for (const {team, step, tasks} of waiting) {
		addTo(getSum(sums, team), getDemand(step), tasks.length);
	}

	const total = createSum();
	for (const [team, sum] of sums) {
		addTo(total, limitToCap(owner, teamUse, team, sum));
	}

	return total;
};

const sumFree = (usable: readonly Executor[]): Resources => {
	const free = createSum();
	for (const executor of usable) {
		addTo(free, getFree(executor));
	}

	return free;
};

/** Returns a check whether a task of a step fits on any of the executors. */
const createFitCheck = (
	usable: readonly Executor[],
): ((step: Step) => boolean) => {
	// Neighbouring steps mostly fit where the last one did.
	let latest: Executor | undefined;
	return (step) => {
		if (latest && couldHold(latest, step) && hasRoom(latest, step)) {
			return true;
		}

		const allowed = usable.filter(
			(each) => couldHold(each, step) && maySpreadTo(step, each),
		);
		latest = allowed.find((each) => hasRoom(each, step));
		return latest !== undefined || allowed.length === 0;
	};
};

/** Whether waiting in-time work does not fit into the free room. */
export const isRoomShort = (
	owner: Owner,
	room: Room,
	jobs: readonly WaitingJob[],
): boolean => {
	const waiting = listWaitingForRoom(owner, room, jobs);
	const inTime = waiting.filter(({step}) => !step.spec.isLongRunning);
	if (inTime.length === 0) {
		return false;
	}

	const total = sumWaiting(owner, room.teamUse, waiting);
	const free = sumFree(room.usable);
	const fits = createFitCheck(room.usable);
	return (
		resourceNames.some((name) => total[name] > free[name]) ||
		inTime.some(({step}) => !fits(step))
	);
};

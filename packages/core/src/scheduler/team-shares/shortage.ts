/**
 * Whether room is short: whether work that can still be in time waits and does
 * not fit into the room that is free. Work that waits for something else, such
 * as the cap of its team or an executor that is large enough, does not count.
 */
import {resourceNames} from '../../teams/resources.js';
import {mayTakeTaskOf} from '../placement/place-task.js';
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

const listStepsInTime = ({
	ranked: {timeliness},
	steps,
}: WaitingJob): readonly WaitingStep[] =>
	timeliness === 'in-time' || timeliness === 'lasting' ? steps : [];

/** Whether a step waits for nothing but room. */
const isWaitingForRoom = (
	owner: Owner,
	{usable, teamUse}: Room,
	{step, first}: WaitingStep,
): boolean =>
	mayTeamStart(owner, teamUse, first) &&
	usable.some((each) => couldHold(each, step));

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

/** Whether the sums of what the teams wait for exceed the free room. */
const exceedsFree = (
	owner: Owner,
	{usable, teamUse}: Room,
	waiting: ReadonlyMap<TeamKey, ResourceSum>,
): boolean => {
	const left = createSum();
	for (const executor of usable) {
		addTo(left, getFree(executor));
	}

	for (const [team, sum] of waiting) {
		addTo(left, limitToCap(owner, teamUse, team, sum), -1);
	}

	return resourceNames.some((name) => left[name] < 0);
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
			(each) => couldHold(each, step) && mayTakeTaskOf(step, each),
		);
		latest = allowed.find((each) => hasRoom(each, step));
		return latest !== undefined || allowed.length === 0;
	};
};

/**
 * Whether waiting in-time work does not fit into the free room. Long-running
 * tasks go first, so in-time work gets what they leave.
 */
export const isRoomShort = (
	owner: Owner,
	room: Room,
	jobs: readonly WaitingJob[],
): boolean => {
	const sums = new Map<TeamKey, ResourceSum>();
	const inTime: Step[] = [];
	for (const job of jobs) {
		for (const waiting of listStepsInTime(job)) {
			if (isWaitingForRoom(owner, room, waiting)) {
				const {step, count} = waiting;
				addTo(getSum(sums, job.team), getDemand(step), count);
				if (!step.spec.isLongRunning) {
					inTime.push(step);
				}
			}
		}
	}

	if (inTime.length === 0) {
		return false;
	}

	const fits = createFitCheck(room.usable);
	return exceedsFree(owner, room, sums) || inTime.some((step) => !fits(step));
};

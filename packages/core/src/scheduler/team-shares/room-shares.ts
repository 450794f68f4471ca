/**
 * Shares the room of a service between teams while it is short. Source:
 * docs/design/team-room-shares.md.
 */
import type {RankedJob} from '../ranking/rank.js';
import type {Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Job} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {
	addTo,
	createSum,
	getDominantShare,
	getSum,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';
import {
	addClaims,
	createFilling,
	orderByShare,
	toWeight,
	type Holdings,
} from './fair-order.js';
import {noRecentUse, updateRecentUse, type RecentUse} from './recent-use.js';
import {
	getReservationState,
	isPauseOver,
	type Reservation,
	type ReservationState,
} from './reservation.js';
import {isRoomShort, type Room} from './shortage.js';
import {
	listWaitingJobs,
	sumRunsByTeam,
	type WaitingJob,
} from './waiting-jobs.js';

/** Dominant shares of the room, from 0 to 1, as of the latest plan. */
export type TeamRoom = {
	/** Absent for the jobs without a team. */
	readonly team: TeamKey;
	readonly weight: number;
	/** What its runs take. */
	readonly running: number;
	/** Decayed mean of what its runs took. */
	readonly recent: number;
	/** What the tasks that could start now would take. */
	readonly waiting: number;
};

/** Numbers of plans and reservations since the takeover. */
export type RoomShareCounts = {
	/** Plans that were made while room was short. */
	shortPlans: number;
	reserved: number;
	/** Reservations whose task has started. */
	placed: number;
	expired: number;
};

/** What the owner keeps to share room between teams. */
export type RoomShares = {
	recent: RecentUse;
	isShort: boolean;
	/** Teams that run or wait for something; empty while nothing is shared. */
	teams: readonly TeamRoom[];
	/** Executors that are kept for wide tasks. */
	reservations: readonly Reservation[];
	/** Those that expired, until their jobs may get another one. */
	expired: readonly Reservation[];
	readonly counts: RoomShareCounts;
};

/** Creates the state of a new owner, which knows no recent use. */
export const createRoomShares = (): RoomShares => ({
	recent: noRecentUse,
	isShort: false,
	teams: [],
	reservations: [],
	expired: [],
	counts: {shortPlans: 0, reserved: 0, placed: 0, expired: 0},
});

const sumCapacity = (usable: readonly Executor[]): Resources => {
	const capacity = createSum();
	for (const {listed} of usable) {
		addTo(capacity, listed.capacity);
	}

	return capacity;
};

const sumWaitingByTeam = (
	jobs: readonly WaitingJob[],
): ReadonlyMap<TeamKey, ResourceSum> => {
	const sums = new Map<TeamKey, ResourceSum>();
	for (const {team, demand, steps} of jobs) {
		if (steps.length > 0) {
			addTo(getSum(sums, team), demand);
		}
	}

	return sums;
};

/** What the teams run, have used recently and wait for. */
type Uses = {
	readonly running: ReadonlyMap<TeamKey, Resources>;
	readonly recent: ReadonlyMap<TeamKey, Resources>;
	readonly waiting: ReadonlyMap<TeamKey, Resources>;
};

const listTeams = ({running, waiting}: Uses): readonly TeamKey[] => [
	...new Set([...running.keys(), ...waiting.keys()]),
];

const describeTeams = (
	uses: Uses,
	{capacity, getWeight}: Holdings,
): readonly TeamRoom[] => {
	const getShare = (of: ReadonlyMap<TeamKey, Resources>, team: TeamKey) =>
		getDominantShare(of.get(team) ?? createSum(), capacity);
	return listTeams(uses).map((team) => ({
		team,
		weight: toWeight(getWeight(team)),
		running: getShare(uses.running, team),
		recent: getShare(uses.recent, team),
		waiting: getShare(uses.waiting, team),
	}));
};

const sumHeld = ({running, recent}: Uses): ReadonlyMap<TeamKey, Resources> => {
	const held = new Map<TeamKey, ResourceSum>();
	for (const uses of [running, recent]) {
		for (const [team, use] of uses) {
			addTo(getSum(held, team), use);
		}
	}

	return held;
};

const isSameGroup = (one: RankedJob, two: RankedJob): boolean =>
	one.timeliness === two.timeliness &&
	one.job.accepted.policy.priority === two.job.accepted.policy.priority;

/** Splits ranked jobs into the groups whose order stays. */
const splitIntoGroups = (
	jobs: readonly WaitingJob[],
): ReadonlyArray<readonly WaitingJob[]> => {
	const groups: WaitingJob[][] = [];
	for (const job of jobs) {
		const group = groups.at(-1);
		if (group?.[0] && isSameGroup(group[0].ranked, job.ranked)) {
			group.push(job);
		} else {
			groups.push([job]);
		}
	}

	return groups;
};

/**
 * Orders ranked jobs by the shares of their teams within each group of equal
 * timeliness and priority. Long-running jobs keep their order.
 */
export const orderJobs = (
	jobs: readonly WaitingJob[],
	holdings: Holdings,
): readonly WaitingJob[] => {
	const filling = createFilling(holdings);
	const ordered: WaitingJob[] = [];
	for (const group of splitIntoGroups(jobs)) {
		if (group[0]?.ranked.timeliness === 'lasting') {
			addClaims(filling, group);
			ordered.push(...group);
		} else {
			ordered.push(...orderByShare(filling, group));
		}
	}

	return ordered;
};

/** Ends the reservations that are not needed, or not allowed, any longer. */
const reviewReservations = (
	shares: RoomShares,
	usable: readonly Executor[],
	now: number,
): void => {
	const states = new Map(
		shares.reservations.map((each) => [
			each,
			getReservationState(each, usable, now),
		]),
	);
	const listIn = (state: ReservationState) =>
		shares.reservations.filter((each) => states.get(each) === state);
	const expired = listIn('expired');
	shares.counts.placed += listIn('placed').length;
	shares.counts.expired += expired.length;
	shares.reservations = listIn('active');
	shares.expired = [...shares.expired, ...expired].filter(
		(each) => !isPauseOver(each, now),
	);
};

/** Whether a job has no reservation for now, after one that expired. */
export const isPaused = ({expired}: RoomShares, job: Job): boolean =>
	expired.some(({task}) => task.step.occurrence.job === job);

const stopSharing = (shares: RoomShares): undefined => {
	shares.isShort = false;
	shares.teams = [];
	shares.reservations = [];
};

/**
 * Updates what the teams have used, and returns the jobs in the order in which
 * they get room; `undefined` if the ranking stays: if room is not shared, no
 * open job has a team, or room is not short.
 */
export const shareRoom = (
	owner: Owner,
	room: Room,
	ranked: readonly RankedJob[],
	now: number,
): readonly WaitingJob[] | undefined => {
	const {roomShares: shares, cfg, teamWeights} = owner;
	if (!cfg.sharesRoomBetweenTeams) {
		return undefined;
	}

	const running = sumRunsByTeam(owner);
	shares.recent = updateRecentUse(shares.recent, running, now);
	if (!ranked.some(({job}) => job.accepted.team !== undefined)) {
		stopSharing(shares);
		return;
	}

	const jobs = listWaitingJobs(owner, ranked);
	const waiting = sumWaitingByTeam(jobs);
	const uses: Uses = {running, recent: shares.recent.means, waiting};
	const holdings: Holdings = {
		capacity: sumCapacity(room.usable),
		held: sumHeld(uses),
		getWeight: (team) =>
			toWeight(team === undefined ? undefined : teamWeights.get(team)),
	};
	shares.teams = describeTeams(uses, holdings);
	shares.isShort = isRoomShort(owner, room, jobs);
	reviewReservations(shares, room.usable, now);
	if (!shares.isShort) {
		shares.reservations = [];
		return undefined;
	}

	shares.counts.shortPlans += 1;
	return orderJobs(jobs, holdings);
};

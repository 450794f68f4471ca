/**
 * Shares the room of a service between teams while it is short. Source:
 * docs/design/team-room-shares.md.
 */
import type {RankedJob} from '../ranking/rank.js';
import type {Executor} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Job} from '../state/task.js';
import type {Resources} from '../state/types.js';
import {addTo, createSum} from './dominant-share.js';
import {toWeight, type Holdings} from './fair-order.js';
import {orderJobs} from './order-jobs.js';
import {updateRecentUse} from './recent-use.js';
import {
	getReservationState,
	isPauseOver,
	type ReservationState,
} from './reservation.js';
import type {RoomShares} from './room-shares.js';
import {isRoomShort, type Room} from './shortage.js';
import {
	describeTeams,
	sumHeld,
	sumWaitingByTeam,
	type TeamUses,
} from './team-uses.js';
import {
	listWaitingJobs,
	sumRunsByTeam,
	type WaitingJob,
} from './waiting-jobs.js';

const sumCapacity = (usable: readonly Executor[]): Resources => {
	const capacity = createSum();
	for (const {listed} of usable) {
		addTo(capacity, listed.capacity);
	}

	return capacity;
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

/**
 * Whether an executor was kept for a task until its reservation expired. Small
 * tasks may start there for now, before it is kept for the next one.
 */
export const isKeptInVain = ({expired}: RoomShares, {id}: Executor): boolean =>
	expired.some(({executorId}) => executorId === id);

const stopSharing = (shares: RoomShares): void => {
	shares.isShort = false;
	shares.teams = [];
	shares.reservations = [];
	shares.expired = [];
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
		return undefined;
	}

	const jobs = listWaitingJobs(owner, ranked);
	const waiting = sumWaitingByTeam(jobs);
	const uses: TeamUses = {running, recent: shares.recent.means, waiting};
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

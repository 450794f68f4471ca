/** What an owner keeps to share room between teams, and shows operators. */
import type {TeamKey} from './dominant-share.js';
import {noRecentUse, type RecentUse} from './recent-use.js';
import type {Reservation} from './reservation.js';

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

/**
 * Hashed timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing
 * Wheels", SOSP 1987): adding and removing a ticket take constant time, and
 * finding the due tickets takes one step per tick.
 */
import type {Ticket} from './records.js';

/** Resolution of the wheel. */
const tickMs = 4;
/** Lists on the wheel; a ticket due after a full turn stays for another. */
const listCount = 1024;

/** Tickets by `dueAt`. */
export type DeadlineWheel = {
	readonly heads: Array<Ticket | undefined>;
	/** Last tick whose list was checked. */
	tick: number;
	size: number;
};

const getTick = (at: number): number => Math.ceil(at / tickMs);

const getList = (tick: number): number =>
	((tick % listCount) + listCount) % listCount;

/** Creates an empty wheel. */
export const createDeadlineWheel = (now: number): DeadlineWheel => ({
	heads: Array.from({length: listCount}, () => undefined),
	tick: Math.floor(now / tickMs),
	size: 0,
});

/** Adds a ticket; `dueAt` is raised to at least one tick from now. */
export const addToWheel = (
	wheel: DeadlineWheel,
	ticket: Ticket,
	now: number,
): void => {
	if (wheel.size === 0) {
		wheel.tick = Math.floor(now / tickMs);
	}

	ticket.dueAt = Math.max(ticket.dueAt, now + tickMs);
	const list = getList(getTick(ticket.dueAt));
	const head = wheel.heads[list];
	ticket.wheelNext = head;
	if (head) {
		head.wheelPrevious = ticket;
	}

	wheel.heads[list] = ticket;
	wheel.size++;
};

export const removeFromWheel = (wheel: DeadlineWheel, ticket: Ticket): void => {
	const {wheelPrevious, wheelNext} = ticket;
	if (wheelPrevious) {
		wheelPrevious.wheelNext = wheelNext;
	} else {
		wheel.heads[getList(getTick(ticket.dueAt))] = wheelNext;
	}

	if (wheelNext) {
		wheelNext.wheelPrevious = wheelPrevious;
	}

	ticket.wheelPrevious = undefined;
	ticket.wheelNext = undefined;
	wheel.size--;
};

const pushDue = (
	wheel: DeadlineWheel,
	tick: number,
	now: number,
	due: Ticket[],
): void => {
	let ticket = wheel.heads[getList(tick)];
	while (ticket) {
		if (ticket.dueAt <= now) {
			due.push(ticket);
		}

		ticket = ticket.wheelNext;
	}
};

/** Returns tickets due at `now`, up to one tick late, without removing them. */
export const getDue = (wheel: DeadlineWheel, now: number): Ticket[] => {
	const due: Ticket[] = [];
	const lastTick = Math.floor(now / tickMs);
	if (wheel.size > 0) {
		const firstTick = Math.max(wheel.tick + 1, lastTick - listCount + 1);
		for (let tick = firstTick; tick <= lastTick; tick++) {
			pushDue(wheel, tick, now, due);
		}
	}

	wheel.tick = Math.max(wheel.tick, lastTick);
	return due;
};

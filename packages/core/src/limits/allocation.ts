/** How a home divides free credits over its borrowers. */
import type {CreditCoordinator, Session} from './coordinator-ledger.js';
import * as books from './coordinator-ledger.js';
import * as messages from './messages.js';

/** Requests of a session that wait and have no credit on its way. */
const getUnmet = (session: Session): readonly number[] =>
	session.open
		? session.waiting.slice(
				messages.sumCounts(session.granted) - session.grantedSeen,
			)
		: [];

const pickMostUrgent = (
	unmet: ReadonlyMap<Session, number[]>,
): Session | undefined => {
	let picked: Session | undefined;
	let earliest = Number.POSITIVE_INFINITY;
	for (const [session, [first]] of unmet) {
		if (first !== undefined && first < earliest) {
			picked = session;
			earliest = first;
		}
	}

	return picked;
};

/** The executor with most free slots; equals take turns. */
const pickExecutor = (
	free: ReadonlyMap<string, number>,
	avoid: ReadonlySet<string>,
	turn: number,
): string | undefined => {
	const names = [...free.keys()];
	let picked: string | undefined;
	let most = 0;
	for (let index = 0; index < names.length; index++) {
		const executor = names[(index + turn) % names.length]!;
		const count = free.get(executor) ?? 0;
		if (count > most && !avoid.has(executor)) {
			picked = executor;
			most = count;
		}
	}

	return picked;
};

const grantOne = (
	home: CreditCoordinator,
	session: Session,
	free: Map<string, number>,
): boolean => {
	const executor = pickExecutor(free, session.avoid, home.grants);
	if (executor === undefined) {
		return false;
	}

	messages.addCount(free, executor, -1);
	messages.addCount(session.granted, executor, 1);
	session.dirty = true;
	home.grants++;
	return true;
};

/** Grants free credits one by one, each to the earliest deadline. */
export const grantSlots = (
	home: CreditCoordinator,
	free: Map<string, number>,
) => {
	const unmet = new Map<Session, number[]>();
	for (const session of home.sessions.values()) {
		const waiting = getUnmet(session);
		if (waiting.length > 0) {
			unmet.set(session, [...waiting]);
		}
	}

	for (
		let session = pickMostUrgent(unmet);
		session;
		session = pickMostUrgent(unmet)
	) {
		if (grantOne(home, session, free)) {
			unmet.get(session)?.shift();
		} else {
			unmet.delete(session);
		}
	}

	if (unmet.size === 0) {
		parkSlots(home, free);
	}
};

/** Credits that the borrower has or will have without a request for them. */
const countParked = (session: Session): number =>
	session.spare +
	messages.sumCounts(session.granted) -
	session.grantedSeen -
	session.waiting.length;

/** Free credits that stay with the home, for the next request anywhere. */
const keptFree = 2;

/** Gives each entry without a spare credit one in advance, while there are. */
const parkSlots = (home: CreditCoordinator, free: Map<string, number>) => {
	let left = messages.sumCounts(free) - keptFree;
	for (const session of home.sessions.values()) {
		if (left <= 0) {
			return;
		}

		if (
			session.open &&
			!session.leaving &&
			home.members.includes(session.borrower) &&
			countParked(session) <= 0
		) {
			left -= grantOne(home, session, free) ? 1 : 0;
		}
	}
};

/** Counts recalled and not yet given back. */
const getPendingRecall = (session: Session, executor: string): number =>
	Math.max(
		0,
		(session.recalled.get(executor) ?? 0) -
			(session.released.get(executor) ?? 0),
	);

const recallOne = (home: CreditCoordinator, executor: string): boolean => {
	let picked: Session | undefined;
	let most = 0;
	for (const session of home.sessions.values()) {
		const left =
			books.getOutstanding(session, executor) -
			getPendingRecall(session, executor);
		if (left > most) {
			picked = session;
			most = left;
		}
	}

	if (!picked) {
		return false;
	}

	const target =
		(picked.released.get(executor) ?? 0) +
		getPendingRecall(picked, executor) +
		1;
	picked.recalled.set(executor, target);
	picked.dirty = true;
	return true;
};

const countPendingRecalls = (
	home: CreditCoordinator,
	executor: string,
): number => {
	let pending = 0;
	for (const session of home.sessions.values()) {
		pending += session.open ? getPendingRecall(session, executor) : 0;
	}

	return pending;
};

const hasUnmet = (home: CreditCoordinator): boolean =>
	[...home.sessions.values()].some((each) => getUnmet(each).length > 0);

/**
 * Where more is out than may be, asks those that hold most to give back; when
 * requests wait, asks for every spare credit.
 */
export const recallSlots = (
	home: CreditCoordinator,
	free: ReadonlyMap<string, number>,
) => {
	for (const [executor, count] of free) {
		let short = count < 0 ? -count - countPendingRecalls(home, executor) : 0;
		while (short > 0 && recallOne(home, executor)) {
			short--;
		}
	}

	if (!hasUnmet(home)) {
		return;
	}

	for (const session of home.sessions.values()) {
		session.dirty ||= countParked(session) > 0 && session.sentSpareLimit > 0;
	}
};

/** Part of the idle credits that borrowers may keep together. */
const parkedFraction = 0.5;

/** What a message tells besides grants. */
export const getHints = (
	home: CreditCoordinator,
	session: Session,
	{free, now}: {readonly free: ReadonlyMap<string, number>; now: number},
): {spareLimit: number; urgentMs: number} => {
	let urgentAt = Number.POSITIVE_INFINITY;
	for (const other of home.sessions.values()) {
		const [first] = getUnmet(other);
		if (first !== undefined && other !== session) {
			urgentAt = Math.min(urgentAt, first);
		}
	}

	if (urgentAt < Number.POSITIVE_INFINITY) {
		return {spareLimit: 0, urgentMs: Math.max(0, Math.round(urgentAt - now))};
	}

	let idle = 0;
	for (const count of free.values()) {
		idle += Math.max(0, count);
	}

	for (const other of home.sessions.values()) {
		idle += other.spare;
	}

	const limit = (idle * parkedFraction) / Math.max(1, home.members.length);
	return {spareLimit: Math.max(1, Math.floor(limit)), urgentMs: -1};
};

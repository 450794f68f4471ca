/** How a credit coordinator divides free credits among its borrowers. */
import type {CreditCoordinator, Session} from './coordinator-ledger.js';
import * as ledger from './coordinator-ledger.js';
import * as messages from './messages.js';

/** Deadlines of waiting requests that no unacknowledged grant covers. */
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

/** Picks the executor with most free slots; `turn` rotates between equals. */
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
	coordinator: CreditCoordinator,
	session: Session,
	free: Map<string, number>,
): boolean => {
	const executor = pickExecutor(free, session.avoid, coordinator.grants);
	if (executor === undefined) {
		return false;
	}

	messages.addCount(free, executor, -1);
	messages.addCount(session.granted, executor, 1);
	session.dirty = true;
	coordinator.grants++;
	return true;
};

/** Grants free credits one by one, each to the earliest deadline waiting. */
export const grantSlots = (
	coordinator: CreditCoordinator,
	free: Map<string, number>,
) => {
	const unmet = new Map<Session, number[]>();
	for (const session of coordinator.sessions.values()) {
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
		if (grantOne(coordinator, session, free)) {
			unmet.get(session)?.shift();
		} else {
			unmet.delete(session);
		}
	}

	if (unmet.size === 0) {
		grantSpares(coordinator, free);
	}
};

/** Credits granted to a borrower beyond its waiting requests. */
const countUnrequested = (session: Session): number =>
	session.spare +
	messages.sumCounts(session.granted) -
	session.grantedSeen -
	session.waiting.length;

/** Free credits kept for the next request of any entry. */
const reservedCredits = 2;

/** Grants one credit in advance to each entry without a spare one. */
const grantSpares = (
	coordinator: CreditCoordinator,
	free: Map<string, number>,
) => {
	let left = messages.sumCounts(free) - reservedCredits;
	for (const session of coordinator.sessions.values()) {
		if (left <= 0) {
			return;
		}

		if (
			session.open &&
			!session.leaving &&
			coordinator.members.includes(session.borrower) &&
			countUnrequested(session) <= 0
		) {
			left -= grantOne(coordinator, session, free) ? 1 : 0;
		}
	}
};

/** Credits recalled and not yet released. */
const getPendingRecall = (session: Session, executor: string): number =>
	Math.max(
		0,
		(session.recalled.get(executor) ?? 0) -
			(session.released.get(executor) ?? 0),
	);

const recallOne = (
	coordinator: CreditCoordinator,
	executor: string,
): boolean => {
	let picked: Session | undefined;
	let most = 0;
	for (const session of coordinator.sessions.values()) {
		const left =
			ledger.getOutstanding(session, executor) -
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
	coordinator: CreditCoordinator,
	executor: string,
): number => {
	let pending = 0;
	for (const session of coordinator.sessions.values()) {
		pending += session.open ? getPendingRecall(session, executor) : 0;
	}

	return pending;
};

const hasUnmet = (coordinator: CreditCoordinator): boolean =>
	[...coordinator.sessions.values()].some((each) => getUnmet(each).length > 0);

/**
 * Recalls credits of overcommitted executors from the borrowers that hold
 * most. If requests wait without a credit, reports a spare limit of 0 to all
 * borrowers with spare credits.
 */
export const recallSlots = (
	coordinator: CreditCoordinator,
	free: ReadonlyMap<string, number>,
) => {
	for (const [executor, count] of free) {
		let missing =
			count < 0 ? -count - countPendingRecalls(coordinator, executor) : 0;
		while (missing > 0 && recallOne(coordinator, executor)) {
			missing--;
		}
	}

	if (!hasUnmet(coordinator)) {
		return;
	}

	for (const session of coordinator.sessions.values()) {
		session.dirty ||=
			countUnrequested(session) > 0 && session.sentSpareLimit > 0;
	}
};

/** Part of the idle credits that all borrowers together may keep as spares. */
const spareFraction = 0.5;

/** Spare limit and most urgent deadline elsewhere, sent with each grant. */
export const getHints = (
	coordinator: CreditCoordinator,
	session: Session,
	{free, now}: {readonly free: ReadonlyMap<string, number>; now: number},
): {spareLimit: number; urgentMs: number} => {
	let urgentAt = Number.POSITIVE_INFINITY;
	for (const other of coordinator.sessions.values()) {
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

	for (const other of coordinator.sessions.values()) {
		idle += other.spare;
	}

	const limit =
		(idle * spareFraction) / Math.max(1, coordinator.members.length);
	return {spareLimit: Math.max(1, Math.floor(limit)), urgentMs: -1};
};

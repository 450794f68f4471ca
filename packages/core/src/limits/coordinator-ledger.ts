/**
 * Books of a home: what each borrower may hold, what is free, and who follows.
 */
import type {CreditSettings} from './messages.js';
import * as rendezvous from './rendezvous.js';

/** One borrower's session. Times by the home's clock, in milliseconds. */
export type Session = {
	readonly borrower: string;
	readonly id: number;
	readonly carried: ReadonlyMap<string, number>;
	readonly granted: Map<string, number>;
	readonly released: Map<string, number>;
	readonly recalled: Map<string, number>;
	/** Closed: its credits have run out; only the number is remembered. */
	open: boolean;
	lastReportAtMs: number;
	/** The borrower follows this home at least so long. */
	followsUntilMs: number;
	/** From here on no other home counts the borrower as following it. */
	exclusiveFromMs: number;
	/** Borrower's clock in its last report. */
	borrowerAtMs: number;
	grantedSeen: number;
	spare: number;
	/** Deadlines of its waiting requests, ascending. */
	waiting: readonly number[];
	avoid: ReadonlySet<string>;
	leaving: boolean;
	sentAtMs: number;
	sentSpareLimit: number;
	/** True if there is something to tell. */
	dirty: boolean;
};

/** Static share by entry and executor. */
export type Shares = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** The home of one pool. */
export type CreditCoordinator = {
	readonly pool: string;
	readonly term: string;
	/** The entry that this home is on. */
	readonly self: string;
	readonly settings: CreditSettings;
	readonly startedAtMs: number;
	readonly sessions: Map<string, Session>;
	/** Grants so far; executors equally free take turns by it. */
	grants: number;
	/** Credits that borrowers have brought along. */
	readonly carriedIn: Map<string, number>;
	/** Older grants of other homes have run out from here on. */
	settledAtMs: number;
	/** True once older grants have run out, so that all slots are known. */
	complete: boolean;
	/**
	 * True while most of the listed entries follow this home; once complete,
	 * only those count that no other home can count.
	 */
	hasMajority: boolean;
	/** When it last led, or started. */
	lastMajorityAtMs: number;
	/**
	 * Listed entries whose static share another home may count on, since they
	 * do not follow this one or have not for long.
	 */
	absent: readonly string[];
	/** Those of them that have turned to this home, but not for long. */
	joining: ReadonlySet<string>;
	members: readonly string[];
	slots: ReadonlyMap<string, number>;
	shares: Shares;
	/** Shares before the list changed, still in use by absent entries. */
	previousShares: Shares;
	previousSharesUntilMs: number;
};

/**
 * Credits of one executor that the borrower may hold, by this home's books.
 * Late copies from a session that the home has forgotten may give back more
 * than this one holds; they free nothing.
 */
export const getOutstanding = (session: Session, executor: string): number =>
	session.open
		? Math.max(
				0,
				(session.carried.get(executor) ?? 0) +
					(session.granted.get(executor) ?? 0) -
					(session.released.get(executor) ?? 0),
			)
		: 0;

/** Credits of one executor that all borrowers may hold. */
export const sumOutstanding = (
	home: CreditCoordinator,
	executor: string,
): number => {
	let outstanding = 0;
	for (const session of home.sessions.values()) {
		outstanding += getOutstanding(session, executor);
	}

	return outstanding;
};

/**
 * Credits of an absent entry that stand for its share. Of one that is joining
 * only those it brought: its share may be in use by the home that it left.
 */
const getAccounted = (
	home: CreditCoordinator,
	member: string,
	executor: string,
): number => {
	const session = home.sessions.get(member);
	if (!session) {
		return 0;
	}

	const outstanding = getOutstanding(session, executor);
	return home.joining.has(member)
		? Math.min(session.carried.get(executor) ?? 0, outstanding)
		: outstanding;
};

/** What stays set aside for the static shares of absent entries. */
const getReserved = (home: CreditCoordinator, executor: string): number => {
	let reserved = 0;
	for (const member of home.absent) {
		const held = getAccounted(home, member, executor);
		const share = Math.max(
			home.shares.get(member)?.get(executor) ?? 0,
			home.previousShares.get(member)?.get(executor) ?? 0,
		);
		reserved += Math.max(0, share - held);
	}

	return reserved;
};

/** Slots of one executor that are this home's to divide. */
const getTotal = (home: CreditCoordinator, executor: string): number => {
	if (home.hasMajority) {
		return home.slots.get(executor) ?? 0;
	}

	let shared = 0;
	for (const shares of home.shares.values()) {
		shared += shares.get(executor) ?? 0;
	}

	return shared;
};

const getFreeOf = (home: CreditCoordinator, executor: string): number => {
	const outstanding = sumOutstanding(home, executor);
	const free =
		getTotal(home, executor) - outstanding - getReserved(home, executor);
	return home.complete
		? free
		: Math.min(free, (home.carriedIn.get(executor) ?? 0) - outstanding);
};

/** Slots by executor that may be granted; below 0, too many are out. */
export const getFree = (home: CreditCoordinator): Map<string, number> => {
	const free = new Map<string, number>();
	for (const executor of home.slots.keys()) {
		free.set(executor, getFreeOf(home, executor));
	}

	for (const session of home.sessions.values()) {
		for (const executor of session.granted.keys()) {
			if (!home.slots.has(executor)) {
				free.set(executor, -sumOutstanding(home, executor));
			}
		}
	}

	return free;
};

/** Listed entries that follow this home now. */
export const getFollowers = (
	home: CreditCoordinator,
	now: number,
): readonly Session[] => {
	const followers: Session[] = [];
	for (const member of home.members) {
		const session = home.sessions.get(member);
		if (session?.open && now < session.followsUntilMs) {
			followers.push(session);
		}
	}

	return followers;
};

/** More than half, or half with the entry that ranks first for the pool. */
export const isMajority = (
	home: CreditCoordinator,
	followers: readonly Session[],
): boolean => {
	const half = home.members.length / 2;
	const first = rendezvous.pickMember(home.pool, home.members);
	return (
		followers.length > half ||
		(followers.length === half &&
			followers.some((each) => each.borrower === first))
	);
};

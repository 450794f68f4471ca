/**
 * Ledger of a credit coordinator: the credits that each borrower may hold,
 * the free credits, and the entries that follow the coordinator.
 */
import type {CreditSettings} from './messages.js';
import * as rendezvous from './rendezvous.js';

/** One borrower's session. Times by the coordinator's clock, in ms. */
export type Session = {
	readonly borrower: string;
	readonly id: number;
	readonly carried: ReadonlyMap<string, number>;
	readonly granted: Map<string, number>;
	readonly released: Map<string, number>;
	readonly recalled: Map<string, number>;
	/** False once its credits have expired; only the id is still used. */
	open: boolean;
	lastReportAtMs: number;
	/** The borrower follows this coordinator at least until then. */
	followsUntilMs: number;
	/** From then on no other coordinator counts the borrower as a follower. */
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
	/** True if a grant message should be sent now. */
	dirty: boolean;
};

/** Static share by entry and executor. */
export type Shares = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Credit coordinator of one pool. */
export type CreditCoordinator = {
	readonly pool: string;
	readonly term: string;
	/** The entry that runs this coordinator. */
	readonly self: string;
	readonly settings: CreditSettings;
	readonly startedAtMs: number;
	readonly sessions: Map<string, Session>;
	/** Number of grants; rotates between executors that are equally free. */
	grants: number;
	/** Credits by executor that borrowers carried into their sessions. */
	readonly carriedIn: Map<string, number>;
	/** When older grants of other coordinators have expired. */
	settledAtMs: number;
	/** True once older grants have expired and all slots are accounted for. */
	complete: boolean;
	/**
	 * True while a majority of the listed entries follow this coordinator; once
	 * complete, only entries count that no other coordinator can count.
	 */
	hasMajority: boolean;
	/** When it last had a majority, or started. */
	lastMajorityAtMs: number;
	/**
	 * Listed entries whose static share another coordinator may rely on, since
	 * they do not follow this one or have only recently started to.
	 */
	absent: readonly string[];
	/** Absent entries that have recently started to follow this coordinator. */
	joining: ReadonlySet<string>;
	members: readonly string[];
	slots: ReadonlyMap<string, number>;
	shares: Shares;
	/** Shares before the list changed, which absent entries may still use. */
	previousShares: Shares;
	previousSharesUntilMs: number;
};

/**
 * Credits of one executor that the borrower may hold, by this ledger. Late
 * copies of a report from a removed session may release more than this one
 * holds, so the result is at least 0.
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
	coordinator: CreditCoordinator,
	executor: string,
): number => {
	let outstanding = 0;
	for (const session of coordinator.sessions.values()) {
		outstanding += getOutstanding(session, executor);
	}

	return outstanding;
};

/**
 * Credits of an absent entry that count toward its share. For a joining entry
 * only carried credits count: the coordinator that it left may still rely on
 * its share.
 */
const getAccounted = (
	coordinator: CreditCoordinator,
	member: string,
	executor: string,
): number => {
	const session = coordinator.sessions.get(member);
	if (!session) {
		return 0;
	}

	const outstanding = getOutstanding(session, executor);
	return coordinator.joining.has(member)
		? Math.min(session.carried.get(executor) ?? 0, outstanding)
		: outstanding;
};

/** Credits reserved for the static shares of absent entries. */
const getReserved = (
	coordinator: CreditCoordinator,
	executor: string,
): number => {
	let reserved = 0;
	for (const member of coordinator.absent) {
		const held = getAccounted(coordinator, member, executor);
		const share = Math.max(
			coordinator.shares.get(member)?.get(executor) ?? 0,
			coordinator.previousShares.get(member)?.get(executor) ?? 0,
		);
		reserved += Math.max(0, share - held);
	}

	return reserved;
};

/** Slots of one executor that this coordinator may grant. */
const getTotal = (coordinator: CreditCoordinator, executor: string): number => {
	if (coordinator.hasMajority) {
		return coordinator.slots.get(executor) ?? 0;
	}

	let shared = 0;
	for (const shares of coordinator.shares.values()) {
		shared += shares.get(executor) ?? 0;
	}

	return shared;
};

const getFreeOf = (
	coordinator: CreditCoordinator,
	executor: string,
): number => {
	const outstanding = sumOutstanding(coordinator, executor);
	const free =
		getTotal(coordinator, executor) -
		outstanding -
		getReserved(coordinator, executor);
	return coordinator.complete
		? free
		: Math.min(free, (coordinator.carriedIn.get(executor) ?? 0) - outstanding);
};

/** Free slots by executor; negative if the executor is overcommitted. */
export const getFree = (
	coordinator: CreditCoordinator,
): Map<string, number> => {
	const free = new Map<string, number>();
	for (const executor of coordinator.slots.keys()) {
		free.set(executor, getFreeOf(coordinator, executor));
	}

	for (const session of coordinator.sessions.values()) {
		for (const executor of session.granted.keys()) {
			if (!coordinator.slots.has(executor)) {
				free.set(executor, -sumOutstanding(coordinator, executor));
			}
		}
	}

	return free;
};

/** Sessions of listed entries that follow this coordinator now. */
export const getFollowers = (
	coordinator: CreditCoordinator,
	now: number,
): readonly Session[] => {
	const followers: Session[] = [];
	for (const member of coordinator.members) {
		const session = coordinator.sessions.get(member);
		if (session?.open && now < session.followsUntilMs) {
			followers.push(session);
		}
	}

	return followers;
};

/** True for more than half, or for half including the first-ranked entry. */
export const isMajority = (
	coordinator: CreditCoordinator,
	followers: readonly Session[],
): boolean => {
	const half = coordinator.members.length / 2;
	const first = rendezvous.pickMember(coordinator.pool, coordinator.members);
	return (
		followers.length > half ||
		(followers.length === half &&
			followers.some((each) => each.borrower === first))
	);
};

/**
 * Borrower side of slot credits: what one entry may send to the executors of
 * one pool. The entry uses only credits that it holds: carried into the
 * session, plus granted, less released. A lease renewed by the home's answers
 * limits the time of use, counted from the entry's own report; without a
 * lease the entry falls to its static share. Functions change the given state.
 */
import type {CreditGrant, CreditReport, CreditSettings} from './messages.js';
import * as messages from './messages.js';
import * as rendezvous from './rendezvous.js';
import * as staticShare from './static-share.js';

/** What an entry knows of the fleet for one pool. */
export type PoolMembers = {
	/** Listed entries, by entry and incarnation, without those that ended. */
	readonly listed: readonly string[];
	/** Listed entries that have not been heard of for a while. */
	readonly unresponsive: ReadonlySet<string>;
	/** Entries about to stop: members still, but no homes. */
	readonly leaving: ReadonlySet<string>;
	/**
	 * Entries whose process has surely ended, so that all its connections are
	 * closed: the host is there and refuses connections to its port.
	 */
	readonly ended: ReadonlySet<string>;
	/** Slots of each executor that may be used. */
	readonly slots: ReadonlyMap<string, number>;
};

/** Credits of one entry for one pool. Times by the entry's own clock, ms. */
export type Borrower = {
	readonly pool: string;
	readonly self: string;
	readonly settings: CreditSettings;
	members: PoolMembers;
	shares: ReadonlyMap<string, number>;
	coordinator: string | undefined;
	session: number;
	/** Term of the home; empty until its first answer of the session. */
	term: string;
	carried: Map<string, number>;
	/** Part of `carried` that is in use on a lease that is over. */
	expired: ReadonlyMap<string, number>;
	granted: Map<string, number>;
	released: Map<string, number>;
	recalled: Map<string, number>;
	readonly inFlight: Map<string, number>;
	/** Requests that have ended since a credit was given back in turn. */
	endedSinceRotation: number;
	/** Every executor that credits are or were held for. */
	readonly executors: Set<string>;
	/** Credits beyond the static share may be used until then. */
	leaseUntilMs: number;
	/** When the newest report that the home has answered was sent. */
	acknowledgedAtMs: number;
	/** Without an answer, the static share is used from here. */
	fallbackAtMs: number;
	/** When the entry turned to this home. */
	followsSinceMs: number;
	settleUntilMs: number;
	echoMs: number;
	lastReportMs: number;
	/** True if the home should hear a change now. */
	dirty: boolean;
	spareLimit: number;
	/** Deadline of the most urgent request waiting elsewhere; or infinite. */
	urgentAtMs: number;
	avoid: readonly string[];
};

const noMembers: PoolMembers = {
	listed: [],
	unresponsive: new Set(),
	leaving: new Set(),
	ended: new Set(),
	slots: new Map(),
};

/** What a home that resigns leaves to the borrower of its entry. */
export type CreditHandover = {
	readonly free: ReadonlyMap<string, number>;
	/** Time for which that home knows of credits elsewhere. */
	readonly settleMs: number;
};

/** Starts without credits and without a home. */
export const createBorrower = (
	pool: string,
	self: string,
	settings: CreditSettings,
	now: number,
): Borrower => ({
	pool,
	self,
	settings,
	members: noMembers,
	shares: new Map(),
	coordinator: undefined,
	session: 0,
	term: '',
	carried: new Map(),
	expired: new Map(),
	granted: new Map(),
	released: new Map(),
	recalled: new Map(),
	inFlight: new Map(),
	endedSinceRotation: 0,
	executors: new Set(),
	leaseUntilMs: Number.NEGATIVE_INFINITY,
	acknowledgedAtMs: Number.NEGATIVE_INFINITY,
	fallbackAtMs: now + messages.getSettleMs(settings),
	followsSinceMs: now,
	settleUntilMs: Number.NEGATIVE_INFINITY,
	echoMs: -1,
	lastReportMs: Number.NEGATIVE_INFINITY,
	dirty: false,
	spareLimit: 0,
	urgentAtMs: Number.POSITIVE_INFINITY,
	avoid: [],
});

/** Credits of one executor that the entry holds, in use or not. */
export const getHeld = (borrower: Borrower, executor: string): number =>
	(borrower.carried.get(executor) ?? 0) +
	(borrower.granted.get(executor) ?? 0) -
	(borrower.released.get(executor) ?? 0);

/** Credits that the home has asked back and that are not given back yet. */
export const getRecalled = (borrower: Borrower, executor: string): number =>
	Math.max(
		0,
		(borrower.recalled.get(executor) ?? 0) -
			(borrower.released.get(executor) ?? 0),
	);

const getKept = (borrower: Borrower, executor: string, now: number): number => {
	const held = getHeld(borrower, executor);
	return now < borrower.leaseUntilMs
		? held
		: Math.min(held, borrower.shares.get(executor) ?? 0);
};

/** Requests that the entry may have in flight on one executor now. */
export const getUsable = (
	borrower: Borrower,
	executor: string,
	now: number,
): number =>
	Math.min(
		getKept(borrower, executor, now),
		getHeld(borrower, executor) - getRecalled(borrower, executor),
	);

/** Requests of the entry in flight on one executor. */
export const getInFlight = (borrower: Borrower, executor: string): number =>
	borrower.inFlight.get(executor) ?? 0;

/** Begins a session with what is held now, or at least a given count. */
const startSession = (
	borrower: Borrower,
	now: number,
	atLeast: ReadonlyMap<string, number>,
) => {
	const carried = new Map<string, number>();
	const expired = new Map<string, number>();
	for (const executor of borrower.executors) {
		const kept = Math.max(
			getKept(borrower, executor, now),
			atLeast.get(executor) ?? 0,
		);
		const count = Math.max(kept, getInFlight(borrower, executor));
		if (count > 0) {
			carried.set(executor, count);
			// What ran on a lease that is over goes back, and is not used again.
			expired.set(executor, count - kept);
		}
	}

	borrower.session++;
	borrower.term = '';
	borrower.carried = carried;
	borrower.granted = new Map();
	borrower.released = new Map();
	borrower.expired = expired;
	borrower.recalled = new Map(expired);
	borrower.echoMs = -1;
	borrower.spareLimit = 0;
	borrower.urgentAtMs = Number.POSITIVE_INFINITY;
	borrower.dirty = true;
};

/**
 * When the lease has run out the session is over, since the home may have
 * closed it: what is left, in use or of the static share, is carried into a
 * new one. That no session outlives its lease keeps late copies of its first
 * report harmless.
 */
export const expireLease = (borrower: Borrower, now: number) => {
	const {leaseUntilMs} = borrower;
	if (Number.isFinite(leaseUntilMs) && now >= leaseUntilMs) {
		startSession(borrower, now, new Map());
		borrower.leaseUntilMs = Number.NEGATIVE_INFINITY;
	}
};

/** Not to be reached, and perhaps still granting to others. */
const isLost = (members: PoolMembers, member: string): boolean =>
	!members.ended.has(member) &&
	(!members.listed.includes(member) || members.unresponsive.has(member));

/** The home that an entry with this knowledge follows. */
export const pickCoordinator = (
	pool: string,
	self: string,
	{listed, unresponsive, leaving}: PoolMembers,
): string | undefined => {
	const heard = listed.filter(
		(each) => each === self || !unresponsive.has(each),
	);
	const staying = heard.filter((each) => !leaving.has(each));
	return rendezvous.pickMember(pool, staying.length > 0 ? staying : heard);
};

/**
 * Takes over new knowledge of the fleet; moves to another home if it names
 * one, with all credits and those of a home on this entry that resigns.
 */
export const updateMembers = (
	borrower: Borrower,
	members: PoolMembers,
	now: number,
	inherited?: CreditHandover,
) => {
	const {settings, self, pool, coordinator: oldHome} = borrower;
	borrower.members = members;
	for (const executor of members.slots.keys()) {
		borrower.executors.add(executor);
	}

	borrower.shares = staticShare.getStaticShares(
		members.slots,
		members.listed,
		self,
		settings.fallbackFraction,
	);
	borrower.fallbackAtMs = Math.max(
		borrower.fallbackAtMs,
		now + messages.getSettleMs(settings),
	);
	borrower.settleUntilMs = Math.max(
		borrower.settleUntilMs,
		now + (inherited?.settleMs ?? 0),
	);
	const home = pickCoordinator(pool, self, members);
	if (home === oldHome) {
		return;
	}

	const settleMs = messages.getSettleMs(settings);
	if (oldHome !== undefined && isLost(members, oldHome)) {
		// What the old home granted to others ends so long after its last answer.
		borrower.settleUntilMs = Math.max(
			borrower.settleUntilMs,
			Math.max(borrower.acknowledgedAtMs, borrower.followsSinceMs) + settleMs,
		);
	}

	for (const [executor, count] of inherited?.free ?? []) {
		borrower.executors.add(executor);
		messages.addCount(borrower.granted, executor, count);
	}

	borrower.coordinator = home;
	borrower.followsSinceMs = now;
	borrower.fallbackAtMs = now + settleMs;
	startSession(borrower, now, new Map());
};

/**
 * Called at least once a heartbeat. When the home has been silent for so long
 * that it has surely set this entry's static share aside, that share is
 * carried into a new session and used.
 */
export const updateBorrower = (borrower: Borrower, now: number) => {
	expireLease(borrower, now);
	if (now >= borrower.fallbackAtMs) {
		startSession(borrower, now, borrower.shares);
		borrower.fallbackAtMs = Number.POSITIVE_INFINITY;
	}

	if (now - borrower.lastReportMs >= borrower.settings.heartbeatMs) {
		borrower.dirty = true;
	}
};

/** Takes in a message of the home; one of another session has no effect. */
export const receiveGrant = (
	borrower: Borrower,
	grant: CreditGrant,
	now: number,
) => {
	expireLease(borrower, now);
	if (grant.session !== borrower.session) {
		return;
	}

	if (!grant.known) {
		startSession(borrower, now, new Map());
		return;
	}

	if (borrower.term === '') {
		borrower.term = grant.term;
		borrower.dirty = true;
	}

	if (borrower.term !== grant.term) {
		return;
	}

	messages.raiseCounts(borrower.granted, grant.granted);
	for (const executor of borrower.granted.keys()) {
		borrower.executors.add(executor);
	}

	messages.raiseCounts(borrower.recalled, grant.recalled);
	borrower.acknowledgedAtMs = Math.max(borrower.acknowledgedAtMs, grant.echoMs);
	// The home may count its own message as heard until it came in here.
	borrower.fallbackAtMs = now + messages.getSettleMs(borrower.settings);
	if (grant.leased) {
		const untilMs = grant.echoMs + borrower.settings.leaseMs;
		borrower.leaseUntilMs = Math.max(borrower.leaseUntilMs, untilMs);
	}

	if (grant.sentAtMs >= borrower.echoMs) {
		borrower.echoMs = grant.sentAtMs;
		borrower.spareLimit = grant.spareLimit;
		borrower.urgentAtMs =
			grant.urgentMs < 0 ? Number.POSITIVE_INFINITY : now + grant.urgentMs;
	}
};

/** Credits of one executor held and not in use. */
export const getSpare = (borrower: Borrower, executor: string): number =>
	Math.max(0, getHeld(borrower, executor) - getInFlight(borrower, executor));

/** Credits held and not in use, over all executors. */
export const countSpare = (borrower: Borrower): number => {
	let spare = 0;
	for (const executor of borrower.executors) {
		spare += getSpare(borrower, executor);
	}

	return spare;
};

/** True if this entry is about to stop. */
export const isLeaving = ({members, self}: Borrower): boolean =>
	members.leaving.has(self);

/** Deadlines of waiting requests that one report names, at most. */
const maxReportedWaiting = 64;

/** The report to send to the home now. */
export const createReport = (
	borrower: Borrower,
	waitingDeadlines: readonly number[],
	now: number,
): CreditReport => {
	expireLease(borrower, now);
	borrower.lastReportMs = now;
	borrower.dirty = false;
	return {
		pool: borrower.pool,
		borrower: borrower.self,
		session: borrower.session,
		term: borrower.term,
		sentAtMs: now,
		echoMs: borrower.echoMs,
		carried: Object.fromEntries(borrower.carried),
		expired: Object.fromEntries(borrower.expired),
		released: Object.fromEntries(borrower.released),
		grantedSeen: messages.sumCounts(borrower.granted),
		spare: countSpare(borrower),
		waitingMs: waitingDeadlines
			.slice(0, maxReportedWaiting)
			.map((deadlineMs) => Math.max(0, Math.round(deadlineMs - now))),
		avoid: borrower.avoid,
		leaving: isLeaving(borrower),
		settleMs: Math.max(0, Math.ceil(borrower.settleUntilMs - now)),
		followedMs: Math.floor(now - borrower.followsSinceMs),
	};
};

/**
 * Borrower side of slot credits: how many requests one entry may send to each
 * executor of one pool. The entry uses only credits that it holds: those
 * carried into the session, plus granted, minus released. They are leased: the
 * coordinator's answers renew the lease, counted from the report that they
 * answer. Without a lease the entry is limited to its static share. Functions
 * change the given state.
 */
import type {CreditGrant, CreditReport, CreditSettings} from './messages.js';
import * as messages from './messages.js';
import * as rendezvous from './rendezvous.js';
import * as staticShare from './static-share.js';

/** Fleet members of one pool as an entry sees them. */
export type PoolMembers = {
	/** Listed entries, by entry and incarnation, without terminated ones. */
	readonly listed: readonly string[];
	/** Listed entries that no message was received from for a while. */
	readonly unresponsive: ReadonlySet<string>;
	/** Entries about to stop: still members, but not picked as coordinator. */
	readonly leaving: ReadonlySet<string>;
	/**
	 * Entries whose process has certainly terminated, so that its connections
	 * are closed: the host answers and refuses connections to its port.
	 */
	readonly ended: ReadonlySet<string>;
	/** Slots of each executor that may be used. */
	readonly slots: ReadonlyMap<string, number>;
};

/** Credits of one entry for one pool. Times by the local clock, ms. */
export type Borrower = {
	readonly pool: string;
	readonly self: string;
	readonly settings: CreditSettings;
	members: PoolMembers;
	shares: ReadonlyMap<string, number>;
	coordinator: string | undefined;
	session: number;
	/** Term of the coordinator; empty until its first answer in the session. */
	term: string;
	carried: Map<string, number>;
	/** Part of `carried` that is still in use after its lease expired. */
	expired: ReadonlyMap<string, number>;
	granted: Map<string, number>;
	released: Map<string, number>;
	recalled: Map<string, number>;
	readonly inFlight: Map<string, number>;
	/** Requests finished since a spare credit was released for rotation. */
	endedSinceRotation: number;
	/** Every executor for which credits are or were held. */
	readonly executors: Set<string>;
	/** Until when credits beyond the static share may be used. */
	leaseUntilMs: number;
	/** When the newest report that the coordinator has answered was sent. */
	acknowledgedAtMs: number;
	/** When the static share comes into use unless an answer arrives. */
	fallbackAtMs: number;
	/** When the entry started to follow this coordinator. */
	followsSinceMs: number;
	settleUntilMs: number;
	echoMs: number;
	lastReportMs: number;
	/** True if a report should be sent now. */
	dirty: boolean;
	spareLimit: number;
	/** Deadline of the most urgent request waiting elsewhere, or infinite. */
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

/** Credits that a resigning coordinator hands to the borrower of its entry. */
export type CreditHandover = {
	readonly free: ReadonlyMap<string, number>;
	/** Time for which credits may still be in use by other entries. */
	readonly settleMs: number;
};

/** Creates a borrower without credits or a coordinator. */
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

/** Credits that the coordinator has recalled and that are not yet released. */
export const getRecalled = (borrower: Borrower, executor: string): number =>
	Math.max(
		0,
		(borrower.recalled.get(executor) ?? 0) -
			(borrower.released.get(executor) ?? 0),
	);

const getLeased = (
	borrower: Borrower,
	executor: string,
	now: number,
): number => {
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
		getLeased(borrower, executor, now),
		getHeld(borrower, executor) - getRecalled(borrower, executor),
	);

/** Requests of the entry in flight on one executor. */
export const getInFlight = (borrower: Borrower, executor: string): number =>
	borrower.inFlight.get(executor) ?? 0;

/** Starts a session with the credits held now, or at least a given count. */
const startSession = (
	borrower: Borrower,
	now: number,
	atLeast: ReadonlyMap<string, number>,
) => {
	const carried = new Map<string, number>();
	const expired = new Map<string, number>();
	for (const executor of borrower.executors) {
		const kept = Math.max(
			getLeased(borrower, executor, now),
			atLeast.get(executor) ?? 0,
		);
		const count = Math.max(kept, getInFlight(borrower, executor));
		if (count > 0) {
			carried.set(executor, count);
			// Credits in use after their lease expired are recalled, not reused.
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
 * Ends the session when its lease has expired, since the coordinator may have
 * closed it: credits in use and the static share are carried into a new
 * session. Since no session outlives its lease, late copies of its first
 * report have no effect.
 */
export const expireLease = (borrower: Borrower, now: number) => {
	const {leaseUntilMs} = borrower;
	if (Number.isFinite(leaseUntilMs) && now >= leaseUntilMs) {
		startSession(borrower, now, new Map());
		borrower.leaseUntilMs = Number.NEGATIVE_INFINITY;
	}
};

/** True if a member is unreachable and may still grant credits to others. */
const isLost = (members: PoolMembers, member: string): boolean =>
	!members.ended.has(member) &&
	(!members.listed.includes(member) || members.unresponsive.has(member));

/** Picks the coordinator that an entry with these members follows. */
export const pickCoordinator = (
	pool: string,
	self: string,
	{listed, unresponsive, leaving}: PoolMembers,
): string | undefined => {
	const responsive = listed.filter(
		(each) => each === self || !unresponsive.has(each),
	);
	const staying = responsive.filter((each) => !leaving.has(each));
	return rendezvous.pickMember(pool, staying.length > 0 ? staying : responsive);
};

/**
 * Applies changed members. If another coordinator is picked, a new session
 * carries over all credits, including those handed over by a coordinator on
 * this entry that resigns.
 */
export const updateMembers = (
	borrower: Borrower,
	members: PoolMembers,
	now: number,
	handover?: CreditHandover,
) => {
	const {settings, self, pool, coordinator: previous} = borrower;
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
		now + (handover?.settleMs ?? 0),
	);
	const coordinator = pickCoordinator(pool, self, members);
	if (coordinator === previous) {
		return;
	}

	const settleMs = messages.getSettleMs(settings);
	if (previous !== undefined && isLost(members, previous)) {
		// Credits that the previous coordinator granted to others may be in use
		// for this long after its last answer.
		borrower.settleUntilMs = Math.max(
			borrower.settleUntilMs,
			Math.max(borrower.acknowledgedAtMs, borrower.followsSinceMs) + settleMs,
		);
	}

	for (const [executor, count] of handover?.free ?? []) {
		borrower.executors.add(executor);
		messages.addCount(borrower.granted, executor, count);
	}

	borrower.coordinator = coordinator;
	borrower.followsSinceMs = now;
	borrower.fallbackAtMs = now + settleMs;
	startSession(borrower, now, new Map());
};

/**
 * Call at least once per heartbeat. When the coordinator has been unresponsive
 * for so long that it must have reserved this entry's static share, a new
 * session with that share is started.
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

/** Applies a message of the coordinator; one of another session is ignored. */
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
	// Counted from arrival: the coordinator may count this entry as a follower
	// from any time up to now.
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

export const isLeaving = ({members, self}: Borrower): boolean =>
	members.leaving.has(self);

/** Maximum number of waiting requests whose deadlines a report contains. */
const maxReportedWaiting = 64;

/** Creates the report to send to the coordinator now. */
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

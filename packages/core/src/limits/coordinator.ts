/**
 * Coordinator side of slot credits: one entry, picked by rendezvous hashing,
 * grants the slots of a pool's executors, each to the most urgent request that
 * waits at any entry. It never grants more slots than exist:
 * - a new coordinator grants only credits that its borrowers carry over, until
 *   all listed entries follow it and older grants have expired;
 * - credits of an unresponsive borrower stay committed until its lease and the
 *   longest attempt have passed;
 * - the static share of a listed entry that does not follow stays committed;
 * - a coordinator without a majority of the listed entries grants no more than
 *   the static shares of its followers, so that two coordinators together never
 *   grant more slots than there are.
 * Functions change the given state; messages to send are returned.
 */
import * as allocation from './allocation.js';
import type {CreditHandover, PoolMembers} from './borrower.js';
import type {CreditGrant, CreditReport, CreditSettings} from './messages.js';
import type {CreditCoordinator, Session} from './coordinator-ledger.js';
import * as ledger from './coordinator-ledger.js';
import * as sessions from './coordinator-sessions.js';
import * as messages from './messages.js';
import * as staticShare from './static-share.js';

/** A message to one borrower. */
export type Outgoing = {readonly to: string; readonly grant: CreditGrant};

/**
 * Creates a coordinator. `term` must be unique to it: entry, incarnation and a
 * count of starts.
 */
export const createCoordinator = (
	pool: string,
	{self, term}: {readonly self: string; readonly term: string},
	settings: CreditSettings,
	now: number,
): CreditCoordinator => ({
	pool,
	term,
	self,
	settings,
	startedAtMs: now,
	sessions: new Map(),
	grants: 0,
	carriedIn: new Map(),
	settledAtMs: now,
	complete: false,
	hasMajority: false,
	lastMajorityAtMs: now,
	absent: [],
	joining: new Set(),
	members: [],
	slots: new Map(),
	shares: new Map(),
	previousShares: new Map(),
	previousSharesUntilMs: now,
});

/**
 * Applies the listed entries and the executors' slots. Sessions of entries
 * whose process has certainly terminated are removed.
 */
export const updateCoordinator = (
	coordinator: CreditCoordinator,
	{listed: members, ended, slots}: PoolMembers,
	now: number,
) => {
	for (const member of ended) {
		coordinator.sessions.delete(member);
	}

	const removed = coordinator.members.filter(
		(member) => !members.includes(member) && !ended.has(member),
	);
	if (removed.some((member) => !coordinator.sessions.has(member))) {
		// It may have been the previous coordinator.
		const settleMs = messages.getSettleMs(coordinator.settings);
		coordinator.settledAtMs = Math.max(coordinator.settledAtMs, now + settleMs);
	}

	coordinator.previousShares = coordinator.shares;
	coordinator.previousSharesUntilMs =
		now + messages.getSettleMs(coordinator.settings);
	coordinator.members = members;
	coordinator.slots = slots;
	coordinator.shares = new Map(
		members.map((member) => [
			member,
			staticShare.getStaticShares(
				slots,
				members,
				member,
				coordinator.settings.fallbackFraction,
			),
		]),
	);
};

const createGrant = (
	coordinator: CreditCoordinator,
	session: Session,
	hints: {spareLimit: number; urgentMs: number},
	now: number,
) => {
	session.sentAtMs = now;
	session.sentSpareLimit = hints.spareLimit;
	session.dirty = false;
	const grant: CreditGrant = {
		pool: coordinator.pool,
		borrower: session.borrower,
		session: session.id,
		term: coordinator.term,
		sentAtMs: now,
		echoMs: session.borrowerAtMs,
		known: session.open,
		leased: coordinator.complete || coordinator.hasMajority,
		granted: Object.fromEntries(session.granted),
		recalled: Object.fromEntries(session.recalled),
		...hints,
	};
	return {to: session.borrower, grant};
};

const createRefusal = (
	coordinator: CreditCoordinator,
	report: CreditReport,
	now: number,
) => ({
	to: report.borrower,
	grant: {
		pool: coordinator.pool,
		borrower: report.borrower,
		session: report.session,
		term: coordinator.term,
		sentAtMs: now,
		echoMs: report.sentAtMs,
		known: false,
		leased: false,
		granted: {},
		recalled: {},
		spareLimit: 0,
		urgentMs: -1,
	},
});

/** Expires sessions, grants free credits and recalls; returns messages. */
export const decideGrants = (
	coordinator: CreditCoordinator,
	now: number,
): readonly Outgoing[] => {
	sessions.expireGrants(coordinator, now);
	sessions.updateCompleteness(coordinator, now);
	const free = ledger.getFree(coordinator);
	allocation.grantSlots(coordinator, free);
	allocation.recallSlots(coordinator, free);
	const outgoing: Outgoing[] = [];
	for (const session of coordinator.sessions.values()) {
		if (session.open && session.dirty) {
			const hints = allocation.getHints(coordinator, session, {free, now});
			outgoing.push(createGrant(coordinator, session, hints, now));
		}
	}

	return outgoing;
};

/** Applies one report; returns the messages to send. */
export const receiveReport = (
	coordinator: CreditCoordinator,
	report: CreditReport,
	now: number,
): readonly Outgoing[] => {
	sessions.expireGrants(coordinator, now);
	let session = coordinator.sessions.get(report.borrower);
	if (session && report.session < session.id) {
		return [];
	}

	if (!session || report.session > session.id) {
		if (report.term !== '') {
			return [createRefusal(coordinator, report, now)];
		}

		session = sessions.openSession(coordinator, report, now);
	}

	if (
		!session.open ||
		(report.term !== '' && report.term !== coordinator.term)
	) {
		return [createRefusal(coordinator, report, now)];
	}

	sessions.updateSession(coordinator, session, report, now);
	session.dirty ||= now - session.sentAtMs >= coordinator.settings.heartbeatMs;
	return decideGrants(coordinator, now);
};

const isLost = ({listed, ended}: PoolMembers, borrower: string): boolean =>
	!listed.includes(borrower) && !ended.has(borrower);

/** Returns the credits to hand over when the entry follows another one. */
export const resignCoordinator = (
	coordinator: CreditCoordinator,
	members: PoolMembers,
	now: number,
): CreditHandover => {
	sessions.expireGrants(coordinator, now);
	sessions.updateCompleteness(coordinator, now);
	const free = new Map(
		[...ledger.getFree(coordinator)].filter(([, count]) => count > 0),
	);
	const holdMs = messages.getHoldMs(coordinator.settings);
	const ends = [...coordinator.sessions.values()]
		.filter((each) => each.open && isLost(members, each.borrower))
		.map((each) => each.lastReportAtMs + holdMs - now);
	const startMs = coordinator.complete ? 0 : coordinator.settledAtMs - now;
	return {free, settleMs: Math.max(0, startMs, ...ends)};
};

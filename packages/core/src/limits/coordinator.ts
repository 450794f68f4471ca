/**
 * Home side of slot credits: one entry, picked by rendezvous hashing, grants
 * the slots of a pool's executors, always to the most urgent request that
 * waits at any entry. What it cannot account for it does not grant:
 * - a new home grants only credits that its borrowers bring along, until all
 *   listed entries follow it and older grants have run out;
 * - credits of a silent borrower stay committed until their lease and the
 *   longest attempt have passed;
 * - of a listed entry that does not follow, the static share stays committed;
 * - a home that fewer than half of the listed entries follow grants no more
 *   than the static shares of those that do, so that two homes together never
 *   grant more than there is.
 * Functions change the given state; messages to send are returned.
 */
import * as allocation from './allocation.js';
import type {CreditHandover, PoolMembers} from './borrower.js';
import type {CreditGrant, CreditReport, CreditSettings} from './messages.js';
import type {CreditCoordinator, Session} from './coordinator-ledger.js';
import * as books from './coordinator-ledger.js';
import * as sessions from './coordinator-sessions.js';
import * as messages from './messages.js';
import * as staticShare from './static-share.js';

/** A message to one borrower. */
export type Outgoing = {readonly to: string; readonly grant: CreditGrant};

/**
 * Starts a home. `term` must differ between any two homes that ever were:
 * entry, incarnation and a count of starts.
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
 * Takes over the listed entries and the executors' slots. Entries whose
 * process has surely ended hold nothing any more.
 */
export const updateCoordinator = (
	home: CreditCoordinator,
	{listed: members, ended, slots}: PoolMembers,
	now: number,
) => {
	for (const member of ended) {
		home.sessions.delete(member);
	}

	const left = home.members.filter(
		(member) => !members.includes(member) && !ended.has(member),
	);
	if (left.some((member) => !home.sessions.has(member))) {
		// It may have been the home before this one.
		const settleMs = messages.getSettleMs(home.settings);
		home.settledAtMs = Math.max(home.settledAtMs, now + settleMs);
	}

	home.previousShares = home.shares;
	home.previousSharesUntilMs = now + messages.getSettleMs(home.settings);
	home.members = members;
	home.slots = slots;
	home.shares = new Map(
		members.map((member) => [
			member,
			staticShare.getStaticShares(
				slots,
				members,
				member,
				home.settings.fallbackFraction,
			),
		]),
	);
};

const createGrant = (
	home: CreditCoordinator,
	session: Session,
	hints: {spareLimit: number; urgentMs: number},
	now: number,
) => {
	session.sentAtMs = now;
	session.sentSpareLimit = hints.spareLimit;
	session.dirty = false;
	const grant: CreditGrant = {
		pool: home.pool,
		borrower: session.borrower,
		session: session.id,
		term: home.term,
		sentAtMs: now,
		echoMs: session.borrowerAtMs,
		known: session.open,
		leased: home.complete || home.hasMajority,
		granted: Object.fromEntries(session.granted),
		recalled: Object.fromEntries(session.recalled),
		...hints,
	};
	return {to: session.borrower, grant};
};

const createRefusal = (
	home: CreditCoordinator,
	report: CreditReport,
	now: number,
) => ({
	to: report.borrower,
	grant: {
		pool: home.pool,
		borrower: report.borrower,
		session: report.session,
		term: home.term,
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

/** Expires, grants what is free, recalls what is short; returns messages. */
export const decideGrants = (
	home: CreditCoordinator,
	now: number,
): readonly Outgoing[] => {
	sessions.expireGrants(home, now);
	sessions.updateCompleteness(home, now);
	const free = books.getFree(home);
	allocation.grantSlots(home, free);
	allocation.recallSlots(home, free);
	const outgoing: Outgoing[] = [];
	for (const session of home.sessions.values()) {
		if (session.open && session.dirty) {
			const hints = allocation.getHints(home, session, {free, now});
			outgoing.push(createGrant(home, session, hints, now));
		}
	}

	return outgoing;
};

/** Takes in one report and decides. */
export const receiveReport = (
	home: CreditCoordinator,
	report: CreditReport,
	now: number,
): readonly Outgoing[] => {
	sessions.expireGrants(home, now);
	let session = home.sessions.get(report.borrower);
	if (session && report.session < session.id) {
		return [];
	}

	if (!session || report.session > session.id) {
		if (report.term !== '') {
			return [createRefusal(home, report, now)];
		}

		session = sessions.openSession(home, report, now);
	}

	if (!session.open || (report.term !== '' && report.term !== home.term)) {
		return [createRefusal(home, report, now)];
	}

	sessions.updateSession(home, session, report, now);
	session.dirty ||= now - session.sentAtMs >= home.settings.heartbeatMs;
	return decideGrants(home, now);
};

const isLost = ({listed, ended}: PoolMembers, borrower: string): boolean =>
	!listed.includes(borrower) && !ended.has(borrower);

/** Credits that a home leaves behind when its entry follows another one. */
export const resignCoordinator = (
	home: CreditCoordinator,
	members: PoolMembers,
	now: number,
): CreditHandover => {
	sessions.expireGrants(home, now);
	sessions.updateCompleteness(home, now);
	const free = new Map(
		[...books.getFree(home)].filter(([, count]) => count > 0),
	);
	const holdMs = messages.getHoldMs(home.settings);
	const ends = [...home.sessions.values()]
		.filter((each) => each.open && isLost(members, each.borrower))
		.map((each) => each.lastReportAtMs + holdMs - now);
	const startMs = home.complete ? 0 : home.settledAtMs - now;
	return {free, settleMs: Math.max(0, startMs, ...ends)};
};

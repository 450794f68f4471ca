/**
 * Sessions of a home: opened by a borrower's first report, closed when their
 * credits have surely run out. Functions change the given state.
 */
import type {CreditCoordinator, Session} from './coordinator-ledger.js';
import * as books from './coordinator-ledger.js';
import type {CreditReport} from './messages.js';
import * as messages from './messages.js';

/** Opens the session that a first report asks for. */
export const openSession = (
	home: CreditCoordinator,
	report: CreditReport,
	now: number,
): Session => {
	const carried = new Map(Object.entries(report.carried));
	const former = home.sessions.get(report.borrower);
	const getValid = (executor: string) =>
		(carried.get(executor) ?? 0) - (report.expired[executor] ?? 0);
	if (former) {
		for (const executor of home.carriedIn.keys()) {
			const lost = books.getOutstanding(former, executor) - getValid(executor);
			messages.addCount(home.carriedIn, executor, -Math.max(0, lost));
		}
	} else {
		for (const executor of carried.keys()) {
			messages.addCount(home.carriedIn, executor, getValid(executor));
		}
	}

	const session: Session = {
		borrower: report.borrower,
		id: report.session,
		carried,
		granted: new Map(),
		released: new Map(),
		recalled: new Map(),
		open: true,
		lastReportAtMs: now,
		followsUntilMs:
			report.borrower === home.self
				? Number.POSITIVE_INFINITY
				: Number.NEGATIVE_INFINITY,
		exclusiveFromMs: Number.POSITIVE_INFINITY,
		borrowerAtMs: report.sentAtMs,
		grantedSeen: 0,
		spare: 0,
		waiting: [],
		avoid: new Set(),
		leaving: false,
		sentAtMs: Number.NEGATIVE_INFINITY,
		sentSpareLimit: 0,
		dirty: true,
	};
	home.sessions.set(report.borrower, session);
	return session;
};

/** Takes over what is newer in a report. */
export const updateSession = (
	home: CreditCoordinator,
	session: Session,
	report: CreditReport,
	now: number,
) => {
	session.lastReportAtMs = now;
	messages.raiseCounts(session.released, report.released);
	home.settledAtMs = Math.max(home.settledAtMs, now + report.settleMs);
	const settleMs = messages.getSettleMs(home.settings);
	session.exclusiveFromMs = Math.min(
		session.exclusiveFromMs,
		now - report.followedMs + settleMs,
	);
	if (report.echoMs >= 0) {
		session.followsUntilMs = Math.max(
			session.followsUntilMs,
			report.echoMs + home.settings.leaseMs,
		);
	}

	if (report.sentAtMs >= session.borrowerAtMs) {
		session.borrowerAtMs = report.sentAtMs;
		session.grantedSeen = report.grantedSeen;
		session.spare = report.spare;
		session.waiting = report.waitingMs.map((left) => now + left);
		session.avoid = new Set(report.avoid);
		session.leaving = report.leaving;
	}
};

/** Closes sessions whose credits have run out; forgets those not listed. */
export const expireGrants = (home: CreditCoordinator, now: number) => {
	const holdMs = messages.getHoldMs(home.settings);
	const listed = new Set(home.members);
	for (const session of home.sessions.values()) {
		if (now >= session.lastReportAtMs + holdMs) {
			for (const executor of home.carriedIn.keys()) {
				const lost = books.getOutstanding(session, executor);
				messages.addCount(home.carriedIn, executor, -lost);
			}

			session.open = false;
			session.waiting = [];
			if (!listed.has(session.borrower)) {
				home.sessions.delete(session.borrower);
			}
		}
	}
};

/** Free credits that were brought end with the lease that they came on. */
const dropUnleased = (home: CreditCoordinator) => {
	for (const [executor, count] of home.carriedIn) {
		const outstanding = books.sumOutstanding(home, executor);
		home.carriedIn.set(executor, Math.min(count, outstanding));
	}
};

/** Judges whether all slots are known, and whether most entries follow. */
export const updateCompleteness = (home: CreditCoordinator, now: number) => {
	const followers = books.getFollowers(home, now);
	const settleMs = messages.getSettleMs(home.settings);
	const allFollow =
		now >= home.settledAtMs && followers.length === home.members.length;
	if (allFollow) {
		for (const session of followers) {
			session.exclusiveFromMs = Math.min(session.exclusiveFromMs, now);
		}
	}

	if (now >= home.previousSharesUntilMs) {
		home.previousShares = new Map();
	}

	const counted = followers.filter((each) => now >= each.exclusiveFromMs);
	const present = new Set(counted.map((each) => each.borrower));
	home.absent = home.members.filter((member) => !present.has(member));
	home.joining = new Set(
		home.absent.filter((member) => {
			const session = home.sessions.get(member);
			return session?.open && now < session.exclusiveFromMs;
		}),
	);
	const isCounted = books.isMajority(home, counted);
	const sinceStartMs = now - home.startedAtMs;
	home.complete ||=
		allFollow ||
		(isCounted && sinceStartMs >= settleMs) ||
		sinceStartMs >= 2 * settleMs;
	home.hasMajority = home.complete
		? isCounted
		: books.isMajority(home, followers);
	if (home.hasMajority) {
		home.lastMajorityAtMs = now;
	} else if (
		!home.complete &&
		now >= home.lastMajorityAtMs + home.settings.leaseMs
	) {
		dropUnleased(home);
	}
};

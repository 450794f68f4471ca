/**
 * Sessions of a home: opened by a borrower's first report, closed when their
 * credits have surely run out. Functions change the given state.
 */
import type {Home, Session} from './home-books.js';
import * as books from './home-books.js';
import type {CreditReport} from './messages.js';
import * as messages from './messages.js';

/** Opens the session that a first report asks for. */
export const openSession = (
	home: Home,
	report: CreditReport,
	now: number,
): Session => {
	const carried = new Map(Object.entries(report.carried));
	const former = home.sessions.get(report.borrower);
	const getValid = (executor: string) =>
		(carried.get(executor) ?? 0) - (report.expired[executor] ?? 0);
	if (former) {
		for (const executor of home.brought.keys()) {
			const lost = books.getOutstanding(former, executor) - getValid(executor);
			messages.addCount(home.brought, executor, -Math.max(0, lost));
		}
	} else {
		for (const executor of carried.keys()) {
			messages.addCount(home.brought, executor, getValid(executor));
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
		heardAtMs: now,
		followsUntilMs:
			report.borrower === home.self
				? Number.POSITIVE_INFINITY
				: Number.NEGATIVE_INFINITY,
		countsFromMs: Number.POSITIVE_INFINITY,
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
	home: Home,
	session: Session,
	report: CreditReport,
	now: number,
) => {
	session.heardAtMs = now;
	messages.raiseCounts(session.released, report.released);
	home.settledAtMs = Math.max(home.settledAtMs, now + report.settleMs);
	const settleMs = messages.getSettleMs(home.settings);
	session.countsFromMs = Math.min(
		session.countsFromMs,
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
export const expireGrants = (home: Home, now: number) => {
	const holdMs = messages.getHoldMs(home.settings);
	const listed = new Set(home.members);
	for (const session of home.sessions.values()) {
		if (now >= session.heardAtMs + holdMs) {
			for (const executor of home.brought.keys()) {
				const lost = books.getOutstanding(session, executor);
				messages.addCount(home.brought, executor, -lost);
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
const dropUnleased = (home: Home) => {
	for (const [executor, count] of home.brought) {
		const outstanding = books.sumOutstanding(home, executor);
		home.brought.set(executor, Math.min(count, outstanding));
	}
};

/** Judges whether all slots are known, and whether most entries follow. */
export const updateComplete = (home: Home, now: number) => {
	const followers = books.getFollowers(home, now);
	const settleMs = messages.getSettleMs(home.settings);
	const allFollow =
		now >= home.settledAtMs && followers.length === home.members.length;
	if (allFollow) {
		for (const session of followers) {
			session.countsFromMs = Math.min(session.countsFromMs, now);
		}
	}

	if (now >= home.formerUntilMs) {
		home.formerShares = new Map();
	}

	const counted = followers.filter((each) => now >= each.countsFromMs);
	const present = new Set(counted.map((each) => each.borrower));
	home.absent = home.members.filter((member) => !present.has(member));
	home.joining = new Set(
		home.absent.filter((member) => {
			const session = home.sessions.get(member);
			return session?.open && now < session.countsFromMs;
		}),
	);
	const isCounted = books.isMajority(home, counted);
	const sinceStartMs = now - home.startedAtMs;
	home.complete ||=
		allFollow ||
		(isCounted && sinceStartMs >= settleMs) ||
		sinceStartMs >= 2 * settleMs;
	home.leads = home.complete ? isCounted : books.isMajority(home, followers);
	if (home.leads) {
		home.ledAtMs = now;
	} else if (!home.complete && now >= home.ledAtMs + home.settings.leaseMs) {
		dropUnleased(home);
	}
};

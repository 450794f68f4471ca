/**
 * Sessions of a credit coordinator: opened by a borrower's first report and
 * closed when their credits must have expired. Functions change the given
 * state.
 */
import type {CreditCoordinator, Session} from './coordinator-ledger.js';
import * as ledger from './coordinator-ledger.js';
import type {CreditReport} from './messages.js';
import * as messages from './messages.js';

/** Opens the session of a first report. */
export const openSession = (
	coordinator: CreditCoordinator,
	report: CreditReport,
	now: number,
): Session => {
	const carried = new Map(Object.entries(report.carried));
	const previous = coordinator.sessions.get(report.borrower);
	const getValid = (executor: string) =>
		(carried.get(executor) ?? 0) - (report.expired[executor] ?? 0);
	if (previous) {
		for (const executor of coordinator.carriedIn.keys()) {
			const lostCredits =
				ledger.getOutstanding(previous, executor) - getValid(executor);
			messages.addCount(
				coordinator.carriedIn,
				executor,
				-Math.max(0, lostCredits),
			);
		}
	} else {
		for (const executor of carried.keys()) {
			messages.addCount(coordinator.carriedIn, executor, getValid(executor));
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
			report.borrower === coordinator.self
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
	coordinator.sessions.set(report.borrower, session);
	return session;
};

/** Applies a report; values older than those recorded are ignored. */
export const updateSession = (
	coordinator: CreditCoordinator,
	session: Session,
	report: CreditReport,
	now: number,
) => {
	session.lastReportAtMs = now;
	messages.raiseCounts(session.released, report.released);
	coordinator.settledAtMs = Math.max(
		coordinator.settledAtMs,
		now + report.settleMs,
	);
	const settleMs = messages.getSettleMs(coordinator.settings);
	session.exclusiveFromMs = Math.min(
		session.exclusiveFromMs,
		now - report.followedMs + settleMs,
	);
	if (report.echoMs >= 0) {
		session.followsUntilMs = Math.max(
			session.followsUntilMs,
			report.echoMs + coordinator.settings.leaseMs,
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

/** Closes sessions whose credits have expired; removes unlisted entries. */
export const expireGrants = (coordinator: CreditCoordinator, now: number) => {
	const holdMs = messages.getHoldMs(coordinator.settings);
	const listed = new Set(coordinator.members);
	for (const session of coordinator.sessions.values()) {
		if (now >= session.lastReportAtMs + holdMs) {
			for (const executor of coordinator.carriedIn.keys()) {
				const lostCredits = ledger.getOutstanding(session, executor);
				messages.addCount(coordinator.carriedIn, executor, -lostCredits);
			}

			session.open = false;
			session.waiting = [];
			if (!listed.has(session.borrower)) {
				coordinator.sessions.delete(session.borrower);
			}
		}
	}
};

/** Drops carried credits that nobody holds, as their leases have expired. */
const dropUnleased = (coordinator: CreditCoordinator) => {
	for (const [executor, count] of coordinator.carriedIn) {
		const outstanding = ledger.sumOutstanding(coordinator, executor);
		coordinator.carriedIn.set(executor, Math.min(count, outstanding));
	}
};

/** Updates `absent`, `joining`, `complete` and `hasMajority` as of `now`. */
export const updateCompleteness = (
	coordinator: CreditCoordinator,
	now: number,
) => {
	const followers = ledger.getFollowers(coordinator, now);
	const settleMs = messages.getSettleMs(coordinator.settings);
	const allFollow =
		now >= coordinator.settledAtMs &&
		followers.length === coordinator.members.length;
	if (allFollow) {
		for (const session of followers) {
			session.exclusiveFromMs = Math.min(session.exclusiveFromMs, now);
		}
	}

	if (now >= coordinator.previousSharesUntilMs) {
		coordinator.previousShares = new Map();
	}

	const counted = followers.filter((each) => now >= each.exclusiveFromMs);
	const present = new Set(counted.map((each) => each.borrower));
	coordinator.absent = coordinator.members.filter(
		(member) => !present.has(member),
	);
	coordinator.joining = new Set(
		coordinator.absent.filter((member) => {
			const session = coordinator.sessions.get(member);
			return session?.open && now < session.exclusiveFromMs;
		}),
	);
	const hasCountedMajority = ledger.isMajority(coordinator, counted);
	const sinceStartMs = now - coordinator.startedAtMs;
	coordinator.complete ||=
		allFollow ||
		(hasCountedMajority && sinceStartMs >= settleMs) ||
		sinceStartMs >= 2 * settleMs;
	coordinator.hasMajority = coordinator.complete
		? hasCountedMajority
		: ledger.isMajority(coordinator, followers);
	if (coordinator.hasMajority) {
		coordinator.lastMajorityAtMs = now;
	} else if (
		!coordinator.complete &&
		now >= coordinator.lastMajorityAtMs + coordinator.settings.leaseMs
	) {
		dropUnleased(coordinator);
	}
};

/**
 * Messages between the credit coordinator of a pool, which grants slot
 * credits, and the entries that borrow them. Both sides send running totals of
 * one session and keep the largest total received, so that lost, duplicated or
 * reordered messages do no harm. Times are durations, or readings of the
 * sender's clock that the other side only echoes.
 */

/** Counts by executor. */
export type Counts = Readonly<Record<string, number>>;

/** Message from a borrower to the coordinator. */
export type CreditReport = {
	readonly pool: string;
	/** Entry and incarnation of the borrower. */
	readonly borrower: string;
	/** Number of the session; increases with each new one of this borrower. */
	readonly session: number;
	/** Term of the coordinator; empty before its first answer in the session. */
	readonly term: string;
	/** Borrower's clock. */
	readonly sentAtMs: number;
	/** Coordinator's clock in its newest message received; -1 if none. */
	readonly echoMs: number;
	/** Credits held when the session began. */
	readonly carried: Counts;
	/** Part of `carried` in use after its lease expired; not to be regranted. */
	readonly expired: Counts;
	/** Credits released in the session, running total. */
	readonly released: Counts;
	/** Sum of the granted totals that the borrower has received. */
	readonly grantedSeen: number;
	/** Credits held and not in use. */
	readonly spare: number;
	/** Time until the deadline of each waiting request, ascending, ms. */
	readonly waitingMs: readonly number[];
	/** Executors that the borrower currently does not use. */
	readonly avoid: readonly string[];
	/** Time for which unlisted entries may still hold credits. */
	readonly settleMs: number;
	/** True if the entry is about to stop and needs no credit in advance. */
	readonly leaving: boolean;
	/** Time for which the borrower has followed only this coordinator. */
	readonly followedMs: number;
};

/** Message from the coordinator to a borrower. */
export type CreditGrant = {
	readonly pool: string;
	readonly borrower: string;
	readonly session: number;
	/** Entry, incarnation and start count of the coordinator. */
	readonly term: string;
	/** Coordinator's clock. */
	readonly sentAtMs: number;
	/** Borrower's clock in its newest message received. */
	readonly echoMs: number;
	/** False if the session is unknown: the borrower starts a new one. */
	readonly known: boolean;
	/** True if the lease is renewed, counted from the echoed report. */
	readonly leased: boolean;
	/** Credits granted in the session, running total. */
	readonly granted: Counts;
	/** Released total that the coordinator asks for. */
	readonly recalled: Counts;
	/** Credits that the borrower may keep without using them. */
	readonly spareLimit: number;
	/** Time until the most urgent deadline waiting elsewhere; -1 if none. */
	readonly urgentMs: number;
};

/** Settings that must be equal on both sides; times in milliseconds. */
export type CreditSettings = {
	/** How long a credit may be used after the report that renewed its lease. */
	readonly leaseMs: number;
	/** Longest time from the dispatch of a request to its end. */
	readonly longestAttemptMs: number;
	/** Time between reports when nothing else is sent. */
	readonly heartbeatMs: number;
	/** Part of the slots divided statically if coordinators are unresponsive. */
	readonly fallbackFraction: number;
};

/** Default settings, for requests that end within a second. */
export const defaultSettings: CreditSettings = {
	leaseMs: 300,
	longestAttemptMs: 1000,
	heartbeatMs: 100,
	fallbackFraction: 0.25,
};

/**
 * Time after which the credits of an unresponsive borrower can't be in use any
 * longer. One percent is added for clock drift.
 */
export const getHoldMs = (settings: CreditSettings): number =>
	(settings.leaseMs + settings.longestAttemptMs) * 1.01;

/**
 * Time after which a coordinator that lost contact with a borrower must have
 * reserved that borrower's static share: it detects the loss within a lease,
 * recalls credits of the others within a heartbeat, those that it can't reach
 * stop within a lease of their own, and requests in flight end within the
 * longest attempt.
 */
export const getSettleMs = (settings: CreditSettings): number =>
	(2 * settings.leaseMs +
		settings.longestAttemptMs +
		2 * settings.heartbeatMs) *
	1.01;

/** Adds to a count in a map; returns the new count. */
export const addCount = (
	counts: Map<string, number>,
	executor: string,
	change: number,
): number => {
	const count = (counts.get(executor) ?? 0) + change;
	counts.set(executor, count);
	return count;
};

/** Raises each count to that of the message; true if any increased. */
export const raiseCounts = (
	counts: Map<string, number>,
	seen: Counts,
): boolean => {
	let grew = false;
	for (const [executor, count] of Object.entries(seen)) {
		if (count > (counts.get(executor) ?? 0)) {
			counts.set(executor, count);
			grew = true;
		}
	}

	return grew;
};

export const sumCounts = (counts: ReadonlyMap<string, number>): number => {
	let sum = 0;
	for (const count of counts.values()) {
		sum += count;
	}

	return sum;
};

/**
 * Messages between the home of a pool, which grants slot credits, and the
 * entries that borrow them. Both sides send running totals of one session, so
 * a message that is lost, repeated or overtaken changes nothing: each side
 * keeps the largest total that it has seen. Times are durations, or readings
 * of the sender's own clock that the other side only echoes.
 */

/** Counts by executor. */
export type Counts = Readonly<Record<string, number>>;

/** From a borrower to the home. */
export type CreditReport = {
	readonly pool: string;
	/** Entry and incarnation of the borrower. */
	readonly borrower: string;
	/** Grows with every new session of this borrower. */
	readonly session: number;
	/** Term of the home that the session is with; empty before its answer. */
	readonly term: string;
	/** Borrower's clock. */
	readonly sentAtMs: number;
	/** The home's clock in its last message that came in; -1 if none. */
	readonly echoMs: number;
	/** Credits held when the session began. */
	readonly carried: Counts;
	/** Of these, those in use on a lease that is over; not to be regranted. */
	readonly expired: Counts;
	/** Credits given back since, running total. */
	readonly released: Counts;
	/** Sum of the granted totals that the borrower has seen. */
	readonly grantedSeen: number;
	/** Credits held and not in use. */
	readonly spare: number;
	/** Time left to the deadline of each waiting request, ascending, ms. */
	readonly waitingMs: readonly number[];
	/** Executors that the borrower does not use now. */
	readonly avoid: readonly string[];
	/** Time for which entries that left the list may still hold credits. */
	readonly settleMs: number;
	/** True if the entry is about to stop and wants no credit in advance. */
	readonly leaving: boolean;
	/** Time for which the borrower has followed this home and no other. */
	readonly followedMs: number;
};

/** From the home to a borrower. */
export type CreditGrant = {
	readonly pool: string;
	readonly borrower: string;
	readonly session: number;
	/** Entry, incarnation and start of the home. */
	readonly term: string;
	/** Home's clock. */
	readonly sentAtMs: number;
	/** Borrower's clock in its last message that came in. */
	readonly echoMs: number;
	/** False if the session is not known: the borrower begins a new one. */
	readonly known: boolean;
	/** True if the lease runs on from the echoed report. */
	readonly leased: boolean;
	/** Credits granted in the session, running total. */
	readonly granted: Counts;
	/** Released total that the home asks for. */
	readonly recalled: Counts;
	/** Credits that the borrower may keep without using them. */
	readonly spareLimit: number;
	/** Time left to the most urgent request waiting elsewhere; -1 if none. */
	readonly urgentMs: number;
};

/** Settings that both sides must share; times in milliseconds. */
export type CreditSettings = {
	/** A credit may be used so long after the report that renewed it. */
	readonly leaseMs: number;
	/** The longest time from a request's dispatch to its end. */
	readonly longestAttemptMs: number;
	/** Time between reports when nothing else is sent. */
	readonly heartbeatMs: number;
	/** Part of the slots that is divided statically when homes are silent. */
	readonly fallbackFraction: number;
};

/** Settings for requests that end within a second. */
export const defaultSettings: CreditSettings = {
	leaseMs: 300,
	longestAttemptMs: 1000,
	heartbeatMs: 100,
	fallbackFraction: 0.25,
};

/**
 * Time after which the credits of a silent borrower are surely out of use.
 * One part in a hundred is added for clocks that run at different rates.
 */
export const getHoldMs = (settings: CreditSettings): number =>
	(settings.leaseMs + settings.longestAttemptMs) * 1.01;

/**
 * Time after which a home that lost a borrower has surely made room for that
 * borrower's static share: it notices within a lease, asks the others to give
 * back within a heartbeat, those that it cannot reach stop within a lease of
 * their own, and what is in flight ends within the longest attempt.
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

/** Raises each count to that of the message; returns true if any grew. */
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

/** Adds up the counts of a map. */
export const sumCounts = (counts: ReadonlyMap<string, number>): number => {
	let sum = 0;
	for (const count of counts.values()) {
		sum += count;
	}

	return sum;
};

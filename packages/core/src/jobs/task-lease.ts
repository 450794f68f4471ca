/**
 * Leases of tasks as seen by their holder: when to renew one and when the lease
 * of an unresponsive worker has certainly expired. Times are of the holder's
 * local clock; a worker's clock may run slower by `maxDrift`.
 * Source: docs/design/jobs.md.
 */

/** Settings of task leases. */
export type TaskLeaseConfig = {
	readonly leaseMs: number;
	/** Time before expiry at which a lease is renewed. */
	readonly renewBeforeMs: number;
	/**
	 * Maximum clock drift: how much slower a worker's clock may run, as a
	 * share.
	 */
	readonly maxDrift: number;
	/** Maximum time that a request may be in transit. */
	readonly maxTransitMs: number;
};

/** Default settings. */
export const defaultTaskLeaseConfig: TaskLeaseConfig = {
	leaseMs: 30_000,
	renewBeforeMs: 15_000,
	maxDrift: 0.05,
	maxTransitMs: 5000,
};

/** The lease of one task. */
export type TaskLease = {
	/** When the last request that may have extended the lease was sent. */
	readonly lastSentAt: number;
	/** When the last request that certainly extended the lease was sent. */
	readonly confirmedAt: number;
};

/** Creates a lease that this holder requests now. */
export const startLease = (now: number): TaskLease => ({
	lastSentAt: now,
	confirmedAt: now,
});

/**
 * Creates a lease taken over from another holder, whose last request may have
 * been sent just before this holder acquired its fencing token.
 */
export const takeOverLease = (takenOverAt: number): TaskLease =>
	startLease(takenOverAt);

/** Records a renewal sent at `sentAt`, whether or not its reply arrived. */
export const recordRenewal = (
	lease: TaskLease,
	sentAt: number,
	isConfirmed: boolean,
): TaskLease => ({
	lastSentAt: Math.max(lease.lastSentAt, sentAt),
	confirmedAt: isConfirmed
		? Math.max(lease.confirmedAt, sentAt)
		: lease.confirmedAt,
});

/** Whether the lease must be renewed now. */
export const isRenewalDue = (
	lease: TaskLease,
	now: number,
	cfg: TaskLeaseConfig = defaultTaskLeaseConfig,
): boolean => now - lease.confirmedAt >= cfg.leaseMs - cfg.renewBeforeMs;

/** Latest time at which the worker stops the task by itself. */
export const getLatestExpiry = (
	lease: TaskLease,
	cfg: TaskLeaseConfig = defaultTaskLeaseConfig,
): number =>
	lease.lastSentAt + cfg.maxTransitMs + cfg.leaseMs * (1 + cfg.maxDrift);

/** Whether the lease of an unresponsive worker has certainly expired. */
export const isLeaseExpired = (
	lease: TaskLease,
	now: number,
	cfg: TaskLeaseConfig = defaultTaskLeaseConfig,
): boolean => now > getLatestExpiry(lease, cfg);

/**
 * Leases of tasks as their holder sees them: when to renew and when a silent
 * worker's lease is certainly over. Times are the holder's own; a worker's
 * clock may run slower by `maxDrift`.
 * Source: docs/design/jobs.md.
 */

/** Settings of task leases. */
export type TaskLeaseConfig = {
	readonly leaseMs: number;
	/** Time before the end at which a lease is renewed. */
	readonly renewBeforeMs: number;
	/** How much slower a worker's clock may run, as a share. */
	readonly maxDrift: number;
	/** Longest time that a request may be under way. */
	readonly maxTransitMs: number;
};

/** Settings in force when none are given. */
export const defaultTaskLeaseConfig: TaskLeaseConfig = {
	leaseMs: 30_000,
	renewBeforeMs: 15_000,
	maxDrift: 0.05,
	maxTransitMs: 5000,
};

/** The lease of one task. */
export type TaskLease = {
	/** When the last request that may have extended it was sent. */
	readonly lastSentAt: number;
	/** When a request that certainly extended it was sent. */
	readonly confirmedAt: number;
};

/** A lease that this holder has just asked for. */
export const startLease = (now: number): TaskLease => ({
	lastSentAt: now,
	confirmedAt: now,
});

/**
 * A lease taken over from another holder: its last request may have been
 * sent just before this holder's fencing token was taken.
 */
export const takeOverLease = (takenOverAt: number): TaskLease =>
	startLease(takenOverAt);

/** A renewal was sent at `sentAt`; its reply may never come. */
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

/** Whether to renew now. */
export const isRenewalDue = (
	lease: TaskLease,
	now: number,
	cfg: TaskLeaseConfig = defaultTaskLeaseConfig,
): boolean => now - lease.confirmedAt >= cfg.leaseMs - cfg.renewBeforeMs;

/** When the worker has certainly stopped the task by itself. */
export const getLatestExpiry = (
	lease: TaskLease,
	cfg: TaskLeaseConfig = defaultTaskLeaseConfig,
): number =>
	lease.lastSentAt + cfg.maxTransitMs + cfg.leaseMs * (1 + cfg.maxDrift);

/** Whether a silent worker's lease is certainly over. */
export const isLeaseExpired = (
	lease: TaskLease,
	now: number,
	cfg: TaskLeaseConfig = defaultTaskLeaseConfig,
): boolean => now > getLatestExpiry(lease, cfg);

/**
 * Leases of the runs on an executor, which expire by its clock. The owner that
 * grants them, the first poll of the next owner and the marks in the roster all
 * rely on the one bound that `getMaxLeaseDurationMs` returns. It holds for leases
 * by the clock of the incarnation that gets them; those that a command for an
 * earlier incarnation brings last up to `getMaxStrayLeaseMs`.
 */
import type {SchedulerConfig} from './config.js';
import type {Executor} from './executor.js';
import {
	getEarliestRemoteTime,
	isCertainlyPast,
	maxClockDrift,
} from './remote-clock.js';

/**
 * Upper bound on the time until a lease granted now expires, in milliseconds. It
 * holds for any age of the reading that the lease rests on.
 */
export const getMaxLeaseDurationMs = ({
	taskLeaseMs,
	maxTransitMs,
}: SchedulerConfig): number =>
	taskLeaseMs * (1 + 2 * maxClockDrift) + maxTransitMs;

/**
 * Upper bound on the time until a lease expires that an executor accepts now by
 * a command for an earlier incarnation, in milliseconds: the end of the lease is
 * a time of another clock.
 */
export const getMaxStrayLeaseMs = ({maxLeaseMs}: SchedulerConfig): number =>
	maxLeaseMs / (1 - maxClockDrift);

/**
 * Records a lease from now and returns its end in whole milliseconds of the
 * executor's clock; `undefined` while that is unknown. The lease is at most
 * `leaseMs` long by that clock, and shorter by up to `maxClockDrift` times the
 * age of the latest reading, as the clock may be further than the slowest one.
 */
export const grantLease = (
	executor: Executor,
	leaseMs: number,
	now: number,
): number | undefined => {
	if (!executor.clock) {
		return undefined;
	}

	const until = Math.floor(
		getEarliestRemoteTime(executor.clock, now) + leaseMs,
	);
	executor.grantedUntil = Math.max(executor.grantedUntil, until);
	return until;
};

/**
 * Whether all leases that this owner has granted by the clock of the executor's
 * incarnation have certainly expired.
 */
export const haveLeasesExpired = (executor: Executor, now: number): boolean =>
	executor.clock !== undefined &&
	isCertainlyPast(executor.clock, executor.grantedUntil, now);

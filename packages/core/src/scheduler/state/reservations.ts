/**
 * Reservations of executors. When an owner answers that an executor is clear,
 * it promises that nothing starts there for a time, so that a command that ends
 * all tasks of the machine can still be sent. The reservation behind a promise
 * is stored, and every later owner of the service keeps it.
 */
import type {SchedulerConfig} from './config.js';
import type {Owner} from './owner-state.js';
import {maxClockDrift} from './remote-clock.js';

/** Most executors reserved at once, which bounds the size of the stored row. */
export const maxReservations = 1000;

const setReservation = (
	owner: Owner,
	executorId: string,
	until: number,
): void => {
	owner.reservations.set(executorId, until);
	const executor = owner.executors.get(executorId);
	if (executor) {
		executor.reservedUntil = until;
		executor.mayBeCommanded = true;
		owner.isRosterDirty ||= executor.isRostered;
	}
};

/**
 * Reserves an executor for `reservationMs` from now. Returns false if too many
 * are reserved already.
 */
export const reserveExecutor = (
	owner: Owner,
	executorId: string,
	now: number,
): boolean => {
	const known = owner.reservations.get(executorId);
	if (known === undefined && owner.reservations.size >= maxReservations) {
		return false;
	}

	const until = now + owner.cfg.reservationMs;
	setReservation(owner, executorId, Math.max(known ?? until, until));
	return true;
};

/**
 * Keeps the reservation of an earlier owner, also if the registry lists the
 * executor only later. `remainingMs` is bounded, since the stored value may be
 * wrong.
 */
export const inheritReservation = (
	owner: Owner,
	executorId: string,
	remainingMs: number,
	now: number,
): void => {
	const maxRemainingMs = 2 * owner.cfg.reservationMs;
	if (remainingMs > 0) {
		const until = now + Math.min(remainingMs, maxRemainingMs);
		setReservation(owner, executorId, until);
	}
};

/** Ends the reservation of an executor. */
export const releaseReservation = (owner: Owner, executorId: string): void => {
	owner.reservations.delete(executorId);
	const executor = owner.executors.get(executorId);
	if (executor) {
		executor.reservedUntil = undefined;
		executor.mayBeCommanded = false;
		owner.isRosterDirty ||= !executor.isRostered;
	}
};

/** Removes the reservations that are over. */
export const expireReservations = (owner: Owner, now: number): void => {
	for (const [executorId, until] of owner.reservations) {
		if (until <= now) {
			releaseReservation(owner, executorId);
		}
	}
};

/**
 * Returns for how long from now it may be promised that nothing starts, if a
 * reservation of `reservedMs` was stored `elapsedMs` ago. The clocks of the
 * owner, the store and the receiver may differ by the clock drift.
 */
export const getPromisedMs = (reservedMs: number, elapsedMs: number): number =>
	Math.max(
		0,
		(reservedMs - elapsedMs * (1 + 2 * maxClockDrift)) *
			(1 - 2 * maxClockDrift),
	);

/** Whether a reservation is to be renewed before it is promised again. */
export const isRenewalDue = (
	{reservationMs}: SchedulerConfig,
	promisedMs: number,
): boolean => promisedMs < reservationMs / 2;

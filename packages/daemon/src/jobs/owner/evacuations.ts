/** Evacuations of an owner's executors, as the fleet's holder requests them. */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import {delay, type Clock} from '../clock.js';
import {coalesceCalls} from '../coalesce-calls.js';
import {periods} from '../periods.js';
import {createEvacuationLog} from './evacuation-log.js';
import {
	createReservationRow,
	type ReservationRowDeps,
} from './reservation-row.js';

export type EvacuationsDeps = Omit<ReservationRowDeps, 'logger' | 'clock'> & {
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Whether the ownership is confirmed and this owner does not stop. */
	readonly isConfirmed: () => boolean;
	/** Polls an executor without waiting. */
	readonly pollNow: (executorId: string) => void;
	/** Called when a request or a release changes what may be planned. */
	readonly onChange: () => void;
};

/** Evacuations of one ownership. */
export type Evacuations = {
	/**
	 * Requests an evacuation or renews the request; resolves within the time that
	 * a call between daemons may take. An executor is clear once its reservation
	 * is stored.
	 */
	readonly request: (
		executorId: string,
		request: scheduler.EvacuationRequest,
	) => Promise<scheduler.EvacuationState>;
	/** Lets an executor be used again that will not be commanded. */
	readonly release: (
		executorId: string,
		order?: scheduler.RequestOrder,
	) => void;
	/** Notes that an executor has answered a poll. */
	readonly notePoll: (executorId: string) => void;
	/** Logs the evacuations that are over, and those that last. */
	readonly logCurrent: () => void;
};

/** Longest wait for the store, which leaves time for the answer to arrive. */
const maxStoreWaitMs = periods.peerTimeoutMs / 2;

/** For how long a write waits for the reservations of further executors. */
const gatherMs = 5;

/** Longest wait for the answer to a poll. */
const maxPollWaitMs = periods.peerTimeoutMs / 4;

export const createEvacuations = (deps: EvacuationsDeps): Evacuations => {
	const {owner, clock, isConfirmed, onChange} = deps;
	const log = createEvacuationLog(deps.logger, clock.now);
	const row = createReservationRow(deps);
	/** Executors answer one after another; their reservations share a write. */
	const storeSoon = coalesceCalls(async () => {
		await delay(gatherMs);
		await row.store();
	});
	/** Called when an executor has answered a poll. */
	const pollWaiters = new Map<string, Set<() => void>>();

	const waitForPoll = async (executorId: string) => {
		const waiters = pollWaiters.get(executorId) ?? new Set();
		pollWaiters.set(executorId, waiters);
		const answered = new Promise<void>((resolve) => {
			waiters.add(resolve);
		});
		deps.pollNow(executorId);
		await Promise.race([answered, delay(maxPollWaitMs)]);
		pollWaiters.delete(executorId);
	};

	/**
	 * Whether an executor has answered a poll that was sent from now on. An idle
	 * one is not polled, and may have been lost since it answered last.
	 */
	const hasAnswered = async (executorId: string): Promise<boolean> => {
		const from = clock.now();
		await waitForPoll(executorId);
		return (owner.executors.get(executorId)?.polledAt ?? 0) >= from;
	};

	/** Reserves an executor if the stored reservation does not last. */
	const reserve = async (executorId: string) => {
		const promisedMs = row.get(executorId)?.promisedMs ?? 0;
		if (
			scheduler.isRenewalDue(owner.cfg, promisedMs) &&
			(await hasAnswered(executorId)) &&
			scheduler.isHeld(owner, executorId) &&
			scheduler.reserveExecutor(owner, executorId, clock.now())
		) {
			await Promise.race([storeSoon(), delay(maxStoreWaitMs)]);
		}
	};

	/** Returns the state as it is now, which a wait may have changed. */
	const getState = (executorId: string): scheduler.EvacuationState => {
		if (!isConfirmed()) {
			return {kind: 'not-owner'};
		}

		const occupancy = scheduler.getOccupancy(owner, executorId);
		const promisedMs = row.get(executorId)?.promisedMs ?? 0;
		if (occupancy.kind === 'empty' && promisedMs > 0) {
			return {kind: 'clear', remainingMs: promisedMs};
		}

		if (scheduler.isDeferred(owner, executorId)) {
			return {kind: 'deferred'};
		}

		return occupancy.kind === 'empty' ? {kind: 'waiting', runs: 0} : occupancy;
	};

	return {
		async request(executorId, request) {
			if (!isConfirmed()) {
				return {kind: 'not-owner'};
			}

			const outcome = scheduler.requestEvacuation(
				owner,
				executorId,
				request,
				clock.now(),
			);
			scheduler.recordRequestOrder(owner, executorId, request.order);
			log.logRequest(executorId, outcome, request);
			onChange();
			if (outcome.kind === 'empty') {
				await reserve(executorId);
			}

			const state = getState(executorId);
			log.logState(executorId, state, row.get(executorId)?.untilMs);
			return state;
		},
		release(executorId, order) {
			if (scheduler.releaseEvacuation(owner, executorId, order)) {
				log.logReleased(executorId);
				onChange();
			}
		},
		notePoll(executorId) {
			for (const resolve of pollWaiters.get(executorId) ?? []) {
				resolve();
			}
		},
		logCurrent() {
			log.logCurrent(owner);
		},
	};
};

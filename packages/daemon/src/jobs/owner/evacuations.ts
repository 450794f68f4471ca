/** Evacuations of an owner's executors, as the fleet's holder requests them. */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import {delay, type Clock} from '../clock.js';
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
		patienceMs: number,
		order?: scheduler.RequestOrder,
	) => Promise<scheduler.EvacuationState>;
	/** Lets an executor be used again that will not be commanded. */
	readonly release: (
		executorId: string,
		order?: scheduler.RequestOrder,
	) => void;
	/** Logs the evacuations that are over. */
	readonly logEnded: () => void;
};

/** Longest wait for the store, which leaves time for the answer to arrive. */
const maxStoreWaitMs = periods.peerTimeoutMs / 2;

export const createEvacuations = (deps: EvacuationsDeps): Evacuations => {
	const {owner, clock, isConfirmed, onChange} = deps;
	const log = createEvacuationLog(deps.logger);
	const row = createReservationRow(deps);

	/** Reserves an executor if the stored reservation does not last. */
	const reserve = async (executorId: string) => {
		const promisedMs = row.get(executorId)?.promisedMs ?? 0;
		if (
			scheduler.isRenewalDue(owner.cfg, promisedMs) &&
			scheduler.reserveExecutor(owner, executorId, clock.now())
		) {
			await Promise.race([row.store(), delay(maxStoreWaitMs)]);
		}
	};

	/** Returns the state as it is now, which a wait may have changed. */
	const getState = (executorId: string): scheduler.EvacuationState => {
		if (!isConfirmed()) {
			return {kind: 'not-owner'};
		}

		const occupancy = scheduler.getOccupancy(owner, executorId);
		if (occupancy.kind !== 'empty') {
			return occupancy;
		}

		const promisedMs = row.get(executorId)?.promisedMs ?? 0;
		return promisedMs > 0
			? {kind: 'clear', remainingMs: promisedMs}
			: {kind: 'waiting', runs: 0};
	};

	return {
		async request(executorId, patienceMs, order) {
			if (!isConfirmed()) {
				return {kind: 'not-owner'};
			}

			const occupancy = scheduler.requestEvacuation(
				owner,
				executorId,
				patienceMs,
				clock.now(),
			);
			scheduler.recordRequestOrder(owner, executorId, order);
			log.logRequest(executorId, occupancy, patienceMs);
			onChange();
			if (occupancy.kind === 'empty') {
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
		logEnded() {
			log.logEnded(owner);
		},
	};
};

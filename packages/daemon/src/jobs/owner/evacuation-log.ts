/** Log lines of the evacuations that an owner was asked for. */
import type {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';

/** Writes when evacuations begin, when executors are clear and when they end. */
export type EvacuationLog = {
	/** Logs the first request for an executor. */
	readonly logRequest: (
		executorId: string,
		occupancy: scheduler.Occupancy,
		patienceMs: number,
	) => void;
	/**
	 * Logs that an executor is clear, once for each reservation that says so;
	 * `untilMs` is its end by the store's clock.
	 */
	readonly logState: (
		executorId: string,
		state: scheduler.EvacuationState,
		untilMs: number | undefined,
	) => void;
	readonly logReleased: (executorId: string) => void;
	/** Logs the evacuations that are over. */
	readonly logEnded: (owner: scheduler.Owner) => void;
};

type LoggedEvacuation = {
	/** End of the reservation by which it was last said to be clear. */
	untilMs: number | undefined;
};

export const createEvacuationLog = (
	logger: Pick<Logger, 'info'>,
): EvacuationLog => {
	const evacuating = new Map<string, LoggedEvacuation>();

	const logEnd = (executor: string, reason: string) => {
		evacuating.delete(executor);
		logger.info('evacuation ended', {executor, reason});
	};

	return {
		logRequest(executor, occupancy, patienceMs) {
			if (occupancy.kind === 'unknown-executor' || evacuating.has(executor)) {
				return;
			}

			evacuating.set(executor, {untilMs: undefined});
			const runs = occupancy.kind === 'waiting' ? occupancy.runs : 0;
			logger.info('evacuation requested', {executor, runs, patienceMs});
		},
		logState(executor, state, untilMs) {
			const known = evacuating.get(executor);
			if (state.kind === 'clear' && known && known.untilMs !== untilMs) {
				known.untilMs = untilMs;
				logger.info('executor clear', {
					executor,
					remainingMs: Math.round(state.remainingMs),
					reservedUntilMs: untilMs,
				});
			}
		},
		logReleased(executor) {
			logEnd(executor, 'released');
		},
		logEnded({executors}) {
			for (const id of evacuating.keys()) {
				const executor = executors.get(id);
				if (!executor?.evacuation) {
					logEnd(id, executor ? 'lapsed' : 'executor gone');
				}
			}
		},
	};
};

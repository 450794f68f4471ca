/** Log lines of the evacuations that an owner was asked for. */
import type {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';

/** Writes when evacuations begin, when executors are clear and when they end. */
export type EvacuationLog = {
	/** Logs the first request for an executor, and when it becomes clear. */
	readonly logRequest: (
		executorId: string,
		state: scheduler.EvacuationState,
		patienceMs: number,
	) => void;
	/** Logs the evacuations that are over. */
	readonly logEnded: (owner: scheduler.Owner) => void;
};

export const createEvacuationLog = (
	logger: Pick<Logger, 'info'>,
): EvacuationLog => {
	/** Executors under evacuation, and whether they were clear when last asked. */
	const evacuating = new Map<string, boolean>();

	return {
		logRequest(executor, state, patienceMs) {
			if (state.kind === 'unknown-executor') {
				return;
			}

			if (!evacuating.has(executor)) {
				const runs = state.kind === 'waiting' ? state.runs : 0;
				logger.info('evacuation requested', {executor, runs, patienceMs});
			}

			const isClear = state.kind === 'clear';
			if (isClear && evacuating.get(executor) !== true) {
				logger.info('executor clear', {executor});
			}

			evacuating.set(executor, isClear);
		},
		logEnded({executors}) {
			for (const id of evacuating.keys()) {
				const executor = executors.get(id);
				if (!executor?.evacuation) {
					evacuating.delete(id);
					logger.info('evacuation ended', {
						executor: id,
						reason: executor ? 'lapsed' : 'executor gone',
					});
				}
			}
		},
	};
};

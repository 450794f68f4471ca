/** Log lines of the evacuations that an owner was asked for. */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';

/** Writes when evacuations begin, when executors are clear and when they end. */
export type EvacuationLog = {
	/** Logs the first request for an executor. */
	readonly logRequest: (
		executorId: string,
		outcome: scheduler.EvacuationRequestOutcome,
		request: scheduler.EvacuationRequest,
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
	/** Logs the evacuations that are over, and those that last. */
	readonly logCurrent: (owner: scheduler.Owner) => void;
};

/** Age from which an evacuation that lasts is logged, in milliseconds. */
const logAfterMs = 3000;

/** Time between two lines for one that lasts, in milliseconds. */
const repeatMs = 5000;

type LoggedEvacuation = {
	readonly claimant: string | undefined;
	readonly since: number;
	/** When it was clear first. */
	clearSince: number | undefined;
	/** End of the reservation by which it was last said to be clear. */
	untilMs: number | undefined;
	/** When a line is due if it lasts. */
	dueAt: number;
};

/** `now` returns monotonic milliseconds. */
export const createEvacuationLog = (
	logger: Pick<Logger, 'info' | 'warn'>,
	now: () => number,
): EvacuationLog => {
	const evacuating = new Map<string, LoggedEvacuation>();

	const logEnd = (executor: string, reason: string) => {
		const known = evacuating.get(executor);
		evacuating.delete(executor);
		const at = now();
		logger.info('evacuation ended', {
			executor,
			reason,
			claimant: known?.claimant,
			heldMs: known && Math.round(at - known.since),
			clearMs:
				known?.clearSince === undefined
					? undefined
					: Math.round(at - known.clearSince),
		});
	};

	const logLasting = (owner: scheduler.Owner, at: number) => {
		for (const hold of scheduler.listHolds(owner, at)) {
			const known = evacuating.get(hold.executor);
			if (known && known.dueAt <= at) {
				known.dueAt = at + repeatMs;
				logger.warn('evacuation lasts', {
					...hold,
					clearMs:
						known.clearSince === undefined
							? undefined
							: Math.round(at - known.clearSince),
				});
			}
		}
	};

	return {
		logRequest(executor, outcome, {patienceMs, claimant, urgency}) {
			if (outcome.kind === 'unknown-executor' || evacuating.has(executor)) {
				return;
			}

			const at = now();
			evacuating.set(executor, {
				claimant,
				since: at,
				clearSince: undefined,
				untilMs: undefined,
				dueAt: at + logAfterMs,
			});
			logger.info('evacuation requested', {
				executor,
				claimant,
				urgency,
				state: outcome.kind,
				runs: outcome.kind === 'waiting' ? outcome.runs : 0,
				patienceMs,
			});
		},
		logState(executor, state, untilMs) {
			const known = evacuating.get(executor);
			if (state.kind === 'clear' && known && known.untilMs !== untilMs) {
				known.untilMs = untilMs;
				known.clearSince ??= now();
				logger.info('executor clear', {
					executor,
					claimant: known.claimant,
					remainingMs: Math.round(state.remainingMs),
					reservedUntilMs: untilMs,
				});
			}
		},
		logReleased(executor) {
			logEnd(executor, 'released');
		},
		logCurrent(owner) {
			for (const id of evacuating.keys()) {
				const executor = owner.executors.get(id);
				if (!executor?.evacuation) {
					logEnd(id, executor ? 'lapsed' : 'executor gone');
				}
			}

			const at = now();
			if ([...evacuating.values()].some(({dueAt}) => dueAt <= at)) {
				logLasting(owner, at);
			}
		},
	};
};

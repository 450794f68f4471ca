/** Admission of one service's calls: dispatches, queues or refuses them. */
import * as core from '@gullstand/core';
import {
	createError,
	type Call,
	type CallHandler,
	type CallResult,
} from '../caller/call.js';
import {watchEnd} from './watch-end.js';

type Ticket = core.admission.Ticket;

/** A call that waits for a slot. */
type Waiting = {
	readonly call: Call;
	readonly next: CallHandler;
	readonly resolve: (result: CallResult | Promise<CallResult>) => void;
	readonly stopListening: () => void;
};

/** Dependencies of a queue. */
export type ServiceQueueDeps = {
	readonly now: () => number;
	/** Called for each call that is queued. */
	readonly onWait: () => void;
	/** Requests that may be in flight now. */
	readonly getSlots: () => number;
};

/** Admission of one service. */
export type ServiceQueue = {
	readonly run: (call: Call, next: CallHandler) => Promise<CallResult>;
	/** Applies changed contracts and a changed share. */
	readonly update: (
		terms: readonly core.admission.CustomerTerms[],
		share: number,
	) => void;
	readonly getStatus: () => core.admission.AdmissionStatus;
	/** Drops calls past their deadline, fills free slots; true if calls wait. */
	readonly expire: () => boolean;
};

/** True if the duration of a result reflects the service time. */
const isMeasured = (result: CallResult): boolean =>
	result.kind === 'answer' || result.error === 'upstream-timeout';

/** Creates the admission of one service. */
export const createServiceQueue = (
	settings: core.admission.AdmissionSettings,
	{now, onWait, getSlots}: ServiceQueueDeps,
): ServiceQueue => {
	const state = core.admission.createAdmission(settings, now());
	const waiting = new Map<Ticket, Waiting>();
	let isDrainScheduled = false;

	const removeWaiting = (ticket: Ticket): Waiting | undefined => {
		const found = waiting.get(ticket);
		waiting.delete(ticket);
		found?.stopListening();
		return found;
	};

	const drop = ({ticket, error, retryAfterMs}: core.admission.Dropped) => {
		removeWaiting(ticket)?.resolve(createError(error, 0, retryAfterMs));
	};

	const drain = () => {
		core.admission.updateSlots(state, getSlots());
		let decision = core.admission.next(state, now());
		while (decision) {
			if (decision.kind === 'dropped') {
				drop(decision);
			} else {
				const {ticket} = decision;
				const found = removeWaiting(ticket);
				found?.resolve(send(ticket, found.call, found.next));
			}

			decision = core.admission.next(state, now());
		}
	};

	/** Defers the drain, so that simultaneous cancellations leave the queue first. */
	const scheduleDrain = () => {
		if (!isDrainScheduled) {
			isDrainScheduled = true;
			setImmediate(() => {
				isDrainScheduled = false;
				drain();
			});
		}
	};

	/** Releases the slot of a call that has ended. */
	const finish = (ticket: Ticket, call: Call, measured: boolean) => {
		core.admission.finish(state, ticket, {measured}, now());
		if (call.cancellation.isCancelled()) {
			scheduleDrain();
		} else {
			drain();
		}
	};

	const send = async (
		ticket: Ticket,
		call: Call,
		next: CallHandler,
	): Promise<CallResult> => {
		let result: CallResult;
		try {
			result = await next(call);
		} catch (err) {
			finish(ticket, call, false);
			throw err;
		}

		if (result.kind === 'error' || result.body instanceof Uint8Array) {
			finish(ticket, call, isMeasured(result));
			return result;
		}

		// A streamed answer occupies its slot until its last byte.
		call.cancellation.onCancel(() => {
			finish(ticket, call, false);
		});
		const body = watchEnd(result.body, () => {
			finish(ticket, call, true);
		});
		return {...result, body};
	};

	const wait = async (ticket: Ticket, call: Call, next: CallHandler) =>
		new Promise<CallResult>((resolve) => {
			const stopListening = call.cancellation.onCancel(() => {
				if (core.admission.cancel(state, ticket) === 'left-queue') {
					removeWaiting(ticket)?.resolve(createError('cancelled'));
				}
			});
			waiting.set(ticket, {call, next, resolve, stopListening});
			onWait();
			drain();
		});

	return {
		async run(call, next) {
			if (call.cancellation.isCancelled()) {
				return createError('cancelled');
			}

			const at = now();
			const request = {
				id: call.requestId,
				customer: call.contract.customer,
				class: call.requestClass,
				timeoutMs: call.deadline - at,
			};
			core.admission.updateSlots(state, getSlots());
			const decision = core.admission.offer(state, request, at);
			switch (decision.kind) {
				case 'dispatch': {
					return send(decision.ticket, call, next);
				}

				case 'queued': {
					return wait(decision.ticket, call, next);
				}

				case 'refused': {
					return createError(decision.error, 0, decision.retryAfterMs);
				}
			}
		},
		update(terms, share) {
			core.admission.updateTerms(state, terms, share, now());
			drain();
		},
		getStatus: () => core.admission.getStatus(state, now()),
		expire() {
			for (const dropped of core.admission.expire(state, now())) {
				drop(dropped);
			}

			drain();
			return state.queued > 0;
		},
	};
};

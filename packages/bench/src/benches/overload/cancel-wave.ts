/** Cancels all requests of a full queue at once. */
import * as core from '@gullstand/core';
import {createRandom, drawBelow} from '../../frame/random.js';

const waveSize = 5000;
const slots = 7;

/** State after the cancellations. */
export type CancelWave = {
	readonly cancelled: number;
	/** Slots and queue places that are still in use. */
	readonly slotsHeld: number;
	readonly queuePlacesHeld: number;
	readonly wheelPlacesHeld: number;
	/** Cancelled requests that received a slot afterwards. */
	readonly dispatchedAfterCancel: number;
	/** New requests that received a slot at once afterwards. */
	readonly dispatchedAtOnce: number;
	readonly nsPerCancel: number;
};

type Tickets = core.admission.Ticket[];

const fillQueue = (state: core.admission.AdmissionState): Tickets => {
	const tickets: Tickets = [];
	for (let index = 0; tickets.length < waveSize; index++) {
		const customer = `c${index % 5}`;
		const request = {id: `${index}`, customer, class: 'standard'} as const;
		const decision = core.admission.offer(state, request, index / 100);
		if (decision.kind === 'refused') {
			throw new Error('a request of the wave was not admitted');
		}

		tickets.push(decision.ticket);
	}

	return tickets;
};

const shuffle = (tickets: Tickets, seed: number): void => {
	const random = createRandom(seed);
	for (let index = tickets.length - 1; index > 0; index--) {
		const other = drawBelow(random, index + 1);
		[tickets[index], tickets[other]] = [tickets[other]!, tickets[index]!];
	}
};

/** Queues 5,000 requests and cancels all of them in random order. */
export const runCancelWave = (seed: number): CancelWave => {
	const settings = {
		...core.admission.defaultSettings,
		slots,
		maxQueued: 6000,
		priorShare: 1e-4,
	};
	const state = core.admission.createAdmission(settings, 0);
	const terms = Array.from({length: 5}, (_, index) => ({
		customer: `c${index}`,
		weight: 1,
		answerWithinMs: 600_000,
		requestsPerSecond: 20,
	}));
	core.admission.updateTerms(state, terms, 1, 0);
	const tickets = fillQueue(state);
	shuffle(tickets, seed);
	const inFlight: Tickets = [];
	const startedAt = performance.now();
	for (const ticket of tickets) {
		if (core.admission.cancel(state, ticket) === 'in-flight') {
			inFlight.push(ticket);
		}
	}

	const tookMs = performance.now() - startedAt;
	for (const ticket of inFlight) {
		core.admission.finish(state, ticket, {measured: false}, 100);
	}

	let dispatchedAfterCancel = 0;
	while (core.admission.next(state, 100)) {
		dispatchedAfterCancel++;
	}

	const slotsHeld = state.inFlight;
	const queuePlacesHeld = state.queued;
	const wheelPlacesHeld = state.wheel.size;
	let dispatchedAtOnce = 0;
	for (let index = 0; index < slots; index++) {
		const request = {
			id: `n${index}`,
			customer: 'c0',
			class: 'standard',
		} as const;
		if (core.admission.offer(state, request, 101).kind === 'dispatch') {
			dispatchedAtOnce++;
		}
	}

	return {
		cancelled: tickets.length,
		slotsHeld,
		queuePlacesHeld,
		wheelPlacesHeld,
		dispatchedAfterCancel,
		dispatchedAtOnce,
		nsPerCancel: (tookMs * 1e6) / tickets.length,
	};
};

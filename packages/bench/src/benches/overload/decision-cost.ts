/** Measures the time per decision by the number of queued requests. */
import * as core from '@gullstand/core';
import type {Figures} from '../../frame/types.js';

const customerCount = 20;
const rounds = 20_000;

const createFull = (queued: number): core.admission.AdmissionState => {
	const settings = {
		...core.admission.defaultSettings,
		maxQueued: 100_000,
		slots: 8,
		priorShare: 1e-5,
	};
	const state = core.admission.createAdmission(settings, 0);
	const terms = Array.from({length: customerCount}, (_, index) => ({
		customer: `c${index}`,
		weight: 1 + (index % 3),
		answerWithinMs: 3_600_000,
		requestsPerSecond: 10,
	}));
	core.admission.updateTerms(state, terms, 1, 0);
	for (let index = 0; state.queued < queued; index++) {
		const customer = `c${index % customerCount}`;
		const request = {id: `${index}`, customer, class: 'standard'} as const;
		core.admission.offer(state, request, 0);
	}

	return state;
};

const getNs = (startedAt: number): number =>
	Math.round(((performance.now() - startedAt) * 1e6) / rounds);

/** Offers a request and removes one, so that the queue keeps its length. */
const measure = (queued: number): {offer: number; next: number} => {
	const state = createFull(queued);
	const requests = Array.from({length: rounds}, (_, index) => ({
		id: `x${index}`,
		customer: `c${index % customerCount}`,
		class: 'interactive' as const,
	}));
	const tickets: core.admission.Ticket[] = [];
	let startedAt = performance.now();
	for (const request of requests) {
		const decision = core.admission.offer(state, request, 1);
		if (decision.kind === 'queued') {
			tickets.push(decision.ticket);
			core.admission.cancel(state, decision.ticket);
		}
	}

	const offer = getNs(startedAt);
	const longerQueue = createFull(queued + rounds);
	longerQueue.slots = rounds + 8;
	startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		core.admission.next(longerQueue, 1);
	}

	return {offer, next: getNs(startedAt)};
};

/** Measures at three queue lengths after a warm-up run. */
export const measureDecisions = (): Figures => {
	measure(1000);
	const figures: Record<string, number> = {};
	for (const queued of [100, 1000, 10_000]) {
		const cost = measure(queued);
		figures[`nsPerOfferAndCancel.queued${queued}`] = cost.offer;
		figures[`nsPerNext.queuedFrom${queued}`] = cost.next;
	}

	return figures;
};

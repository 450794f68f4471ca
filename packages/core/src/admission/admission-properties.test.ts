import * as fc from 'fast-check';
import * as tap from 'tap';
import {requestClasses} from '../types/contract.js';
import * as admission from './admission.js';

const runs = {seed: 42, numRuns: 300};
const customers = ['a', 'b', 'c', 'none'];

type Step =
	| {kind: 'offer'; customer: number; class: number; timeoutMs: number}
	| {kind: 'finish'; index: number; measured: boolean}
	| {kind: 'cancel'; index: number}
	| {kind: 'slots'; slots: number}
	| {kind: 'wait'; ms: number};

const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constant('offer' as const),
			customer: fc.nat(3),
			class: fc.nat(2),
			timeoutMs: fc.integer({min: 0, max: 2000}),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constant('finish' as const),
			index: fc.nat(1000),
			measured: fc.boolean(),
		}),
	},
	fc.record({kind: fc.constant('cancel' as const), index: fc.nat(1000)}),
	fc.record({kind: fc.constant('slots' as const), slots: fc.nat(4)}),
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constant('wait' as const),
			ms: fc.nat(300),
		}),
	},
);

/** Applies the steps; returns every final decision and broken invariant. */
const applySteps = (steps: readonly Step[]) => {
	const settings = {...admission.defaultSettings, slots: 3, maxQueued: 40};
	const state = admission.createAdmission(settings, 0);
	const terms = customers.slice(0, 3).map((customer, index) => ({
		customer,
		weight: index + 1,
		answerWithinMs: 1000,
		requestsPerSecond: 5 * index,
	}));
	admission.updateTerms(state, terms, 1, 0);
	const finalDecisions = new Map<string, string[]>();
	const live: admission.Ticket[] = [];
	const cancelled = new Set<admission.Ticket>();
	const problems: string[] = [];
	let now = 0;

	const recordFinal = (id: string, decision: string) => {
		finalDecisions.get(id)?.push(decision);
	};

	const drain = () => {
		for (const dropped of admission.expire(state, now)) {
			recordFinal(dropped.ticket.request.id, 'dropped');
		}

		let decision = admission.next(state, now);
		while (decision) {
			const {kind, ticket} = decision;
			recordFinal(ticket.request.id, kind);
			if (cancelled.has(ticket)) {
				problems.push('dispatched after its cancellation');
			}

			if (kind === 'dispatch' && now >= ticket.deadlineAt) {
				problems.push('dispatched after its deadline');
			}

			decision = admission.next(state, now);
		}
	};

	const offer = (id: string, each: Extract<Step, {kind: 'offer'}>) => {
		finalDecisions.set(id, []);
		const request = {
			id,
			customer: customers[each.customer]!,
			class: requestClasses[each.class]!,
			timeoutMs: each.timeoutMs,
		};
		const decision = admission.offer(state, request, now);
		if (decision.kind !== 'queued') {
			recordFinal(id, decision.kind);
		}

		if (decision.kind !== 'refused') {
			live.push(decision.ticket);
		}
	};

	const cancel = (ticket: admission.Ticket) => {
		if (admission.cancel(state, ticket) === 'left-queue') {
			cancelled.add(ticket);
			recordFinal(ticket.request.id, 'cancelled');
		}
	};

	for (const [index, each] of steps.entries()) {
		switch (each.kind) {
			case 'offer': {
				offer(`${index}`, each);

				break;
			}

			case 'slots': {
				admission.updateSlots(state, each.slots);

				break;
			}

			case 'wait': {
				now += each.ms;

				break;
			}

			case 'cancel': {
				const ticket = live[each.index % live.length];
				if (ticket) {
					cancel(ticket);
				}

				break;
			}

			case 'finish': {
				const ticket = live[each.index % live.length];
				if (ticket) {
					admission.finish(state, ticket, {measured: each.measured}, now);
				}

				break;
			}
		}

		drain();
		const queued = live.filter((ticket) => ticket.state === 'queued').length;
		const held = live.filter((ticket) => ticket.state === 'in-flight').length;
		if (state.queued !== queued || state.wheel.size !== queued) {
			problems.push('queue and tickets differ');
		}

		if (state.inFlight !== held || queued > settings.maxQueued) {
			problems.push('slots and tickets differ, or the queue is too long');
		}
	}

	now += 100_000;
	drain();
	return {finalDecisions, problems, state};
};

tap.t.test('every request has one final decision', async (t) => {
	fc.assert(
		fc.property(fc.array(step, {maxLength: 150}), (steps) => {
			const {finalDecisions, problems, state} = applySteps(steps);
			t.same(problems, []);
			t.equal(state.queued, 0);
			for (const decisions of finalDecisions.values()) {
				if (decisions.length !== 1) {
					throw new Error(`decided: ${decisions.join(', ')}`);
				}
			}
		}),
		runs,
	);
});

/** Keeps all queues non-empty; counts dispatches by customer and class. */
const saturate = (
	weights: readonly number[],
	classes: readonly number[],
	dispatches: number,
) => {
	const settings = {
		...admission.defaultSettings,
		slots: 4,
		priorShare: 0.001,
	};
	const state = admission.createAdmission(settings, 0);
	const terms = weights.map((weight, index) => ({
		customer: `${index}`,
		weight,
		answerWithinMs: 20_000,
		requestsPerSecond: 0,
	}));
	admission.updateTerms(state, terms, 1, 0);
	const counts = new Map<string, number>();
	const inFlight: admission.Ticket[] = [];
	let now = 0;
	const offerAll = () => {
		for (const customer of weights.keys()) {
			for (const each of classes) {
				const requestClass = requestClasses[each]!;
				const id = `${customer}/${requestClass}`;
				const request = {id, customer: `${customer}`, class: requestClass};
				const decision = admission.offer(state, request, now);
				if (decision.kind === 'dispatch') {
					inFlight.push(decision.ticket);
				}
			}
		}
	};

	for (let done = 0; done < dispatches; done++) {
		offerAll();
		now += 5;
		const oldest = inFlight.shift();
		if (oldest) {
			admission.finish(state, oldest, {measured: true}, now);
		}

		admission.expire(state, now);
		const decision = admission.next(state, now);
		if (decision?.kind === 'dispatch') {
			const {id} = decision.ticket.request;
			counts.set(id, (counts.get(id) ?? 0) + 1);
			inFlight.push(decision.ticket);
		}
	}

	return counts;
};

tap.t.test(
	'slots above contracts are shared by weight, within a tenth',
	async (t) => {
		const weight = fc.integer({min: 1, max: 8});
		fc.assert(
			fc.property(fc.array(weight, {minLength: 2, maxLength: 4}), (weights) => {
				const counts = saturate(weights, [0], 1000);
				const sum = weights.reduce((total, each) => total + each, 0);
				for (const [customer, each] of weights.entries()) {
					const share = (counts.get(`${customer}/interactive`) ?? 0) / 1000;
					if (Math.abs(share - each / sum) > 0.1 * (each / sum) + 0.01) {
						throw new Error(`${each} of ${sum} got ${share}`);
					}
				}
			}),
			{seed: 42, numRuns: 25},
		);
		t.pass('all draws');
	},
);

tap.t.test('no customer and no class is starved', async (t) => {
	const counts = saturate([1, 8], [0, 1, 2], 3000);
	for (const customer of [0, 1]) {
		for (const each of requestClasses) {
			const count = counts.get(`${customer}/${each}`) ?? 0;
			t.ok(count > 0, `${customer} ${each}: ${count}`);
		}
	}
});

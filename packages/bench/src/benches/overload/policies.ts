/** The admission policy of the daemon and the two baselines. */
import * as core from '@gullstand/core';
import type {Arrival} from './arrivals.js';
import type {Policy} from './run-entry.js';
import {
	customerWeights,
	getContractRate,
	type FirmSize,
	type ServiceSize,
} from './sizes.js';

/** Input of a policy. */
export type PolicyInput = {
	readonly firm: FirmSize;
	readonly size: ServiceSize;
	readonly arrivals: readonly Arrival[];
	readonly slots: number;
};

/** Creates a policy for one entry. */
export type PolicyFactory = (input: PolicyInput) => Policy;

/** Creates the admission of one entry with all contracts. */
export const createEntryAdmission = (
	firm: FirmSize,
	size: ServiceSize,
	slots: number,
): core.admission.AdmissionState => {
	const state = core.admission.createAdmission(
		{
			...core.admission.defaultSettings,
			slots,
			transitMs: 2 * firm.oneWayMs,
		},
		0,
	);
	const terms = customerWeights.map((weight, customer) => ({
		customer: String(customer),
		weight,
		answerWithinMs: size.answerWithinMs,
		requestsPerSecond: getContractRate(size, customer),
	}));
	core.admission.updateTerms(state, terms, 1 / firm.entries, 0);
	return state;
};

/** Creates the admission policy with its default prior. */
export const createAdmissionPolicy: PolicyFactory = (input) => {
	const {firm, size, arrivals, slots} = input;
	const state = createEntryAdmission(firm, size, slots);
	const tickets = new Map<number, core.admission.Ticket>();
	const getIndex = (ticket: core.admission.Ticket) => Number(ticket.request.id);
	return {
		offer(index, now) {
			const {customer, class: requestClass} = arrivals[index]!;
			const request = {
				id: String(index),
				customer: String(customer),
				class: requestClass,
			};
			const decision = core.admission.offer(state, request, now);
			if (decision.kind === 'dispatch') {
				tickets.set(index, decision.ticket);
			}

			return decision.kind;
		},
		next(now) {
			const decision = core.admission.next(state, now);
			if (!decision) {
				return undefined;
			}

			const index = getIndex(decision.ticket);
			if (decision.kind === 'dispatch') {
				tickets.set(index, decision.ticket);
			}

			return {kind: decision.kind, index};
		},
		expire: (now) =>
			core.admission.expire(state, now).map((each) => getIndex(each.ticket)),
		finish(index, now) {
			const ticket = tickets.get(index)!;
			tickets.delete(index);
			core.admission.finish(state, ticket, {measured: true}, now);
		},
	};
};

const createFifo =
	(dropLate: boolean): PolicyFactory =>
	({size, arrivals, slots}) => {
		const queue: number[] = [];
		let head = 0;
		let inFlight = 0;
		return {
			offer(index) {
				if (inFlight < slots) {
					inFlight++;
					return 'dispatch';
				}

				queue.push(index);
				return 'queued';
			},
			next(now) {
				if (inFlight >= slots || head >= queue.length) {
					return undefined;
				}

				const index = queue[head++]!;
				const waitedMs = now - arrivals[index]!.at;
				if (dropLate && waitedMs > size.answerWithinMs) {
					return {kind: 'dropped', index};
				}

				inFlight++;
				return {kind: 'dispatch', index};
			},
			expire: () => [],
			finish() {
				inFlight--;
			},
		};
	};

/** FIFO policy that ignores deadlines. */
export const createFifoPolicy = createFifo(false);

/** FIFO policy that drops a request whose deadline has passed at its turn. */
export const createFifoDropPolicy = createFifo(true);

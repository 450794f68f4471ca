/** Scenarios: overload by all, one customer alone, one greedy customer. */
import type {Arrival} from './arrivals.js';
import * as arrivalLists from './arrivals.js';
import type {PolicyFactory} from './policies.js';
import {createTally, runEntry, type Tally} from './run-entry.js';
import {
	customerWeights,
	getContractRate,
	slotsPerExecutor,
	soldShare,
	type FirmSize,
	type ServiceSize,
} from './sizes.js';

/** Load of the customers that stay within their contracts. */
const withinContractShare = 0.9;
/** Load of the customer that sends too much. */
const greedyFactor = 10;
/** The customer that sends too much. */
export const greedyCustomer = 2;
/** Load of the overload run relative to capacity. */
const overloadFactor = 2;
/** Load of the run with slow executors relative to capacity. */
const slowRunFactor = 0.8;
/** Factor by which executors are slower in its middle third. */
const slowFactor = 3;

/** Setup of one service under one policy. */
export type Setup = {
	readonly firm: FirmSize;
	readonly size: ServiceSize;
	readonly makePolicy: PolicyFactory;
	readonly seed: number;
	readonly lengthMs: number;
};

const runEntries = (setup: Setup, lists: readonly Arrival[][]): Tally => {
	const {firm, size, makePolicy, lengthMs} = setup;
	const tally = createTally(customerWeights.length);
	const slots = size.executors * slotsPerExecutor;
	for (const [entry, arrivals] of lists.entries()) {
		const extra = entry < slots % firm.entries ? 1 : 0;
		const own = Math.floor(slots / firm.entries) + extra;
		const {answerWithinMs} = size;
		const {oneWayMs} = firm;
		const policy = makePolicy({firm, size, arrivals, slots: own});
		runEntry(
			{arrivals, slots: own, lengthMs, answerWithinMs, oneWayMs},
			policy,
			tally,
		);
	}

	return tally;
};

const identity = (arrival: Arrival): Arrival => arrival;

const runSenders = (
	setup: Setup,
	senders: readonly arrivalLists.Sender[],
	change = identity,
): Tally => {
	const {firm, size} = setup;
	const all = senders.map((sender) =>
		arrivalLists.drawArrivals(size, sender, firm.entries, setup),
	);
	const lists = arrivalLists.mergeArrivals(all, firm.entries);
	return runEntries(
		setup,
		lists.map((each) => each.map((arrival) => change(arrival))),
	);
};

const getSender = (
	setup: Setup,
	customer: number,
	factor: number,
): arrivalLists.Sender => ({
	customer,
	requestsPerSecond: getContractRate(setup.size, customer) * factor,
});

/** Runs all customers at twice the capacity, each by its weight. */
export const runOverload = (setup: Setup): Tally =>
	runSenders(
		setup,
		customerWeights.map((_, customer) =>
			getSender(setup, customer, overloadFactor / soldShare),
		),
	);

/** Runs one customer within its contract without other customers. */
export const runAlone = (setup: Setup, customer: number): Tally =>
	runSenders(setup, [getSender(setup, customer, withinContractShare)]);

/** Runs all customers below capacity, with slow executors for a third. */
export const runSlow = (setup: Setup): Tally =>
	runSenders(
		setup,
		customerWeights.map((_, customer) =>
			getSender(setup, customer, slowRunFactor / soldShare),
		),
		(arrival) => {
			const third = Math.floor((3 * arrival.at) / setup.lengthMs);
			const factor = third === 1 ? slowFactor : 1;
			return {...arrival, serviceMs: arrival.serviceMs * factor};
		},
	);

/** Runs one customer above and the others within their contracts. */
export const runGreedy = (setup: Setup): Tally =>
	runSenders(
		setup,
		customerWeights.map((_, customer) =>
			getSender(
				setup,
				customer,
				customer === greedyCustomer ? greedyFactor : withinContractShare,
			),
		),
	);

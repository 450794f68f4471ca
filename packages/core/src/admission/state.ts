/** State of admission for one service on one entry, with queue operations. */
import {requestClasses, type RequestClass} from '../types/contract.js';
import {type Customer, type Ticket, type TicketQueue} from './records.js';
import * as deadlineWheel from './deadline-wheel.js';
import * as slowdowns from './slowdown.js';
import * as serviceTime from './service-time.js';
import * as ticketQueue from './ticket-queue.js';
import type {AdmissionSettings} from './types.js';

/** Median service time assumed before any customer has terms. */
const defaultPriorMs = 50;

/** Admission state; updated in place. */
export type AdmissionState = {
	readonly settings: AdmissionSettings;
	slots: number;
	inFlight: number;
	/** Slot time charged for requests in flight. */
	inFlightMs: number;
	queued: number;
	/** Queued requests by class, including those in `rescue`. */
	readonly queuedByClass: number[];
	readonly customers: Map<string, Customer>;
	/** Customers with queued requests, unordered. */
	readonly active: Customer[];
	/** One estimate per class, in the order of `requestClasses`. */
	readonly estimates: readonly serviceTime.ServiceTime[];
	readonly slowdown: slowdowns.Slowdown;
	readonly wheel: deadlineWheel.DeadlineWheel;
	/** Queued requests that would be late unless they go next. */
	readonly rescue: TicketQueue;
	/** Virtual times of the two tiers. */
	contractVirtual: number;
	borrowVirtual: number;
	/** Sum of the customers' `contractUse`, as of `contractUseAt`. */
	contractUse: number;
	/** Contracted requests per millisecond over all customers. */
	contractedPerMs: number;
	contractUseAt: number;
};

/** Creates the state; customers are added by `updateTerms`. */
export const createAdmission = (
	settings: AdmissionSettings,
	now: number,
): AdmissionState => ({
	settings,
	slots: settings.slots,
	inFlight: 0,
	inFlightMs: 0,
	queued: 0,
	queuedByClass: requestClasses.map(() => 0),
	customers: new Map(),
	active: [],
	estimates: requestClasses.map(() =>
		serviceTime.createServiceTime(defaultPriorMs, settings.halfLifeMs, now),
	),
	slowdown: slowdowns.createSlowdown(now),
	wheel: deadlineWheel.createDeadlineWheel(now),
	rescue: ticketQueue.createTicketQueue(),
	contractVirtual: 0,
	borrowVirtual: 0,
	contractUse: 0,
	contractedPerMs: 0,
	contractUseAt: now,
});

/** Returns the index of a class in `requestClasses`. */
export const getClassIndex = (requestClass: RequestClass): number =>
	requestClasses.indexOf(requestClass);

/** Adds a ticket to its queue and the wheel. */
export const addToQueue = (
	state: AdmissionState,
	ticket: Ticket,
	now: number,
): void => {
	const {customer} = ticket;
	if (customer.queued === 0) {
		customer.activeIndex = state.active.length;
		state.active.push(customer);
		customer.borrowTag = Math.max(customer.borrowTag, state.borrowVirtual);
	}

	ticketQueue.appendTicket(customer.queues[ticket.classIndex]!, ticket);
	deadlineWheel.addToWheel(state.wheel, ticket, now);
	customer.queued++;
	state.queued++;
	state.queuedByClass[ticket.classIndex]!++;
};

const deactivate = (state: AdmissionState, customer: Customer): void => {
	const last = state.active.pop()!;
	if (last !== customer) {
		state.active[customer.activeIndex] = last;
		last.activeIndex = customer.activeIndex;
	}

	customer.activeIndex = -1;
};

const decrementQueued = (state: AdmissionState, customer: Customer): void => {
	customer.queued--;
	if (customer.queued === 0) {
		deactivate(state, customer);
	}
};

/** Removes a ticket from its queue and the wheel, in constant time. */
export const removeFromQueue = (
	state: AdmissionState,
	ticket: Ticket,
): void => {
	const {customer} = ticket;
	const rescued = ticket.queue === state.rescue;
	ticketQueue.removeTicket(ticket);
	deadlineWheel.removeFromWheel(state.wheel, ticket);
	state.queued--;
	state.queuedByClass[ticket.classIndex]!--;
	if (!rescued) {
		decrementQueued(state, customer);
	}
};

/** Moves a ticket to `rescue`, where it is due again at `giveUpAt`. */
export const moveToRescue = (
	state: AdmissionState,
	ticket: Ticket,
	now: number,
): void => {
	ticketQueue.removeTicket(ticket);
	decrementQueued(state, ticket.customer);
	ticketQueue.appendTicket(state.rescue, ticket);
	deadlineWheel.removeFromWheel(state.wheel, ticket);
	ticket.dueAt = ticket.giveUpAt;
	deadlineWheel.addToWheel(state.wheel, ticket, now);
};

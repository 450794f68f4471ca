/**
 * The records of admission that refer to one another: a customer holds queues
 * of tickets, and a ticket knows its customer.
 */
import type {TokenBucket} from './token-bucket.js';
import type {AdmissionRequest, CustomerTerms, TicketState} from './types.js';

/** One admitted request. */
export type Ticket = {
	readonly request: AdmissionRequest;
	readonly customer: Customer;
	/** Index in `requestClasses`. */
	readonly classIndex: number;
	readonly arrivedAt: number;
	/** By when the entry must have sent the answer. */
	readonly deadlineAt: number;
	/** From when on no answer in time is likely. */
	readonly giveUpAt: number;
	/** From when on it goes before all others, so that it is in time. */
	readonly rescueAt: number;
	/** When the deadline wheel looks at it next. */
	dueAt: number;
	state: TicketState;
	dispatchedAt: number;
	/** Slot time that its customer was charged at dispatch. */
	chargedMs: number;
	/** True if it was dispatched by the contracted rate. */
	contracted: boolean;
	/** Queue in which it stands. */
	queue: TicketQueue | undefined;
	queuePrevious: Ticket | undefined;
	queueNext: Ticket | undefined;
	wheelPrevious: Ticket | undefined;
	wheelNext: Ticket | undefined;
};

/** First-in first-out queue of tickets of one class. */
export type TicketQueue = {
	head: Ticket | undefined;
	tail: Ticket | undefined;
	length: number;
};

/** One customer of one service on one entry. */
export type Customer = {
	terms: CustomerTerms;
	/** True if no contract names the customer any more. */
	removed: boolean;
	readonly bucket: TokenBucket;
	/** One queue a class, in the order of `requestClasses`. */
	readonly queues: readonly TicketQueue[];
	/** Delay by which each class counts as arrived later. */
	agingMs: readonly number[];
	queued: number;
	maxQueued: number;
	/** Place in the list of customers with queued requests, or -1. */
	activeIndex: number;
	/** Virtual start of the next request within the contracted rate. */
	contractTag: number;
	/** Virtual start of the next request above the contracted rate. */
	borrowTag: number;
	/** Slots that its dispatches by the contracted rate hold, on average. */
	contractUse: number;
	contractUseAt: number;
	/** Latest time at which a refused caller was told to return. */
	lastRetryAt: number;
	/** Where between two such times the next round begins, in [0, 1). */
	retryPhase: number;
};

/**
 * Record types of admission that refer to one another: a customer has queues
 * of tickets, and a ticket refers to its customer.
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
	/** When an answer in time becomes unlikely, so that it is dropped. */
	readonly giveUpAt: number;
	/** When it is moved to the rescue queue, which goes before all others. */
	readonly rescueAt: number;
	/** When the deadline wheel returns it next. */
	dueAt: number;
	state: TicketState;
	dispatchedAt: number;
	/** Slot time that its customer was charged at dispatch. */
	chargedMs: number;
	/** True if it was dispatched within the contracted rate. */
	contracted: boolean;
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
	/** True if no contract names the customer any longer. */
	removed: boolean;
	readonly bucket: TokenBucket;
	/** One queue per class, in the order of `requestClasses`. */
	readonly queues: readonly TicketQueue[];
	/** Delay added to the arrival time of each class. */
	agingMs: readonly number[];
	queued: number;
	maxQueued: number;
	/** Index in the list of customers with queued requests, or -1. */
	activeIndex: number;
	/** Virtual start of the next request within the contracted rate. */
	contractTag: number;
	/** Virtual start of the next request above the contracted rate. */
	borrowTag: number;
	/** Moving average of slots used within the contracted rate. */
	contractUse: number;
	contractUseAt: number;
	/** Latest retry time that a refused caller was given. */
	lastRetryAt: number;
	/** Offset of the next round of retry times, in steps, in [0, 1). */
	retryPhase: number;
};

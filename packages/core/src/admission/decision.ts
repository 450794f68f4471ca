/** Decisions of admission control about one request. */
import type {Ticket} from './records.js';
import type {RefusalKind} from './types.js';

/** The request is sent now and holds a slot until `finish`. */
export type Dispatched = {
	readonly kind: 'dispatch';
	readonly ticket: Ticket;
};

/** The request is queued until `next`, `expire` or `cancel` removes it. */
export type Queued = {readonly kind: 'queued'; readonly ticket: Ticket};

/** An offered request is answered with an error; it was not run. */
export type Refused = {
	readonly kind: 'refused';
	readonly error: RefusalKind;
	readonly retryAfterMs: number;
};

/** A queued request is answered with an error; it was not run. */
export type Dropped = {
	readonly kind: 'dropped';
	readonly ticket: Ticket;
	readonly error: RefusalKind;
	readonly retryAfterMs: number;
};

/** Result of `offer`. */
export type OfferDecision = Dispatched | Queued | Refused;

/** Result of `next`. */
export type NextDecision = Dispatched | Dropped;

/** What admission decides about one request. */
import type {Ticket} from './records.js';
import type {RefusalKind} from './types.js';

/** The request goes out now; a slot is held until `finish`. */
export type Dispatched = {
	readonly kind: 'dispatch';
	readonly ticket: Ticket;
};

/** The request waits; `next`, `expire` or `cancel` ends that. */
export type Queued = {readonly kind: 'queued'; readonly ticket: Ticket};

/** The request is answered now; it was not run. */
export type Refused = {
	readonly kind: 'refused';
	readonly error: RefusalKind;
	readonly retryAfterMs: number;
};

/** A queued request is answered now; it was not run. */
export type Dropped = {
	readonly kind: 'dropped';
	readonly ticket: Ticket;
	readonly error: RefusalKind;
	readonly retryAfterMs: number;
};

/** Answer to `offer`. */
export type OfferDecision = Dispatched | Queued | Refused;

/** Answer to `next`. */
export type NextDecision = Dispatched | Dropped;

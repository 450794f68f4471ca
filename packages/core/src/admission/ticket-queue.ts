/**
 * A ticket stands for one admitted request. It is a node of two doubly linked
 * lists (its class's queue and a list of the deadline wheel), so that it
 * leaves both in constant time from any place.
 */
import type {Ticket, TicketQueue} from './records.js';

/** Creates an empty queue. */
export const createTicketQueue = (): TicketQueue => ({
	head: undefined,
	tail: undefined,
	length: 0,
});

/** Adds a ticket at the end. */
export const appendTicket = (queue: TicketQueue, ticket: Ticket): void => {
	ticket.queue = queue;
	ticket.queuePrevious = queue.tail;
	if (queue.tail) {
		queue.tail.queueNext = ticket;
	} else {
		queue.head = ticket;
	}

	queue.tail = ticket;
	queue.length++;
};

/** Takes a ticket out of its queue, from any place. */
export const removeTicket = (ticket: Ticket): void => {
	const {queue, queuePrevious, queueNext} = ticket;
	if (!queue) {
		return;
	}

	if (queuePrevious) {
		queuePrevious.queueNext = queueNext;
	} else {
		queue.head = queueNext;
	}

	if (queueNext) {
		queueNext.queuePrevious = queuePrevious;
	} else {
		queue.tail = queuePrevious;
	}

	ticket.queue = undefined;
	ticket.queuePrevious = undefined;
	ticket.queueNext = undefined;
	queue.length--;
};

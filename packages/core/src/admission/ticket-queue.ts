/**
 * Doubly linked queue of tickets. A ticket is a node of its class's queue and
 * of a list of the deadline wheel, and is removed from both in constant time.
 */
import type {Ticket, TicketQueue} from './records.js';

export const createTicketQueue = (): TicketQueue => ({
	head: undefined,
	tail: undefined,
	length: 0,
});

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

/** Removes a ticket from its queue, if it is in one. */
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

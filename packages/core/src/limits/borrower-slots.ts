/**
 * Use of a borrower's credits: acquire a slot for a request, finish it, and
 * release credits that are not needed. Functions change the given state.
 */
import type {Borrower} from './borrower.js';
import * as borrowers from './borrower.js';
import * as messages from './messages.js';

/** How much more urgent a request of another entry must be to go first. */
const yieldMarginMs = 50;

/** True if a request of another entry should get the next free slot. */
const isMoreUrgentElsewhere = (
	borrower: Borrower,
	deadlineMs: number,
): boolean => deadlineMs > borrower.urgentAtMs + yieldMarginMs;

const releaseCredits = (
	borrower: Borrower,
	executor: string,
	count: number,
) => {
	if (count > 0) {
		messages.addCount(borrower.released, executor, count);
		borrower.dirty = true;
	}
};

/**
 * Releases one usable credit if a request of another entry is more urgent than
 * one that waits here. Returns whether it did; the request waits on.
 */
export const yieldSlot = (
	borrower: Borrower,
	now: number,
	deadlineMs: number,
): boolean => {
	if (!isMoreUrgentElsewhere(borrower, deadlineMs)) {
		return false;
	}

	for (const executor of borrower.members.slots.keys()) {
		const inFlight = borrowers.getInFlight(borrower, executor);
		if (inFlight < borrowers.getUsable(borrower, executor, now)) {
			releaseCredits(borrower, executor, 1);
			borrower.urgentAtMs = Number.POSITIVE_INFINITY;
			return true;
		}
	}

	return false;
};

/**
 * Acquires a slot for one request on the executor with a free credit and the
 * lowest load relative to its weight (from health and slow start; 0 excludes
 * it). Undefined if no credit is free, or if the credit was released in favor
 * of a more urgent request of another entry.
 */
export const acquireSlot = (
	borrower: Borrower,
	now: number,
	deadlineMs: number,
	getWeight: (executor: string) => number,
): string | undefined => {
	let picked: string | undefined;
	let least = Number.POSITIVE_INFINITY;
	for (const executor of borrower.members.slots.keys()) {
		const inFlight = borrowers.getInFlight(borrower, executor);
		const weight = getWeight(executor);
		const score = (inFlight + 1) / weight;
		if (
			weight > 0 &&
			score < least &&
			inFlight < borrowers.getUsable(borrower, executor, now)
		) {
			picked = executor;
			least = score;
		}
	}

	if (picked === undefined) {
		return undefined;
	}

	if (isMoreUrgentElsewhere(borrower, deadlineMs)) {
		releaseCredits(borrower, picked, 1);
		borrower.urgentAtMs = Number.POSITIVE_INFINITY;
		return undefined;
	}

	messages.addCount(borrower.inFlight, picked, 1);
	return picked;
};

/** Ends a request with any result; its credit is spare again. */
export const finishSlot = (borrower: Borrower, executor: string) => {
	messages.addCount(borrower.inFlight, executor, -1);
	borrower.endedSinceRotation++;
};

/**
 * Finished requests after which a spare credit is released, so that the
 * coordinator grants one of another executor: an entry with little load would
 * otherwise use the same executors forever.
 */
const requestsPerRotation = 8;

const rotateSpare = (borrower: Borrower, waiting: number) => {
	if (borrower.endedSinceRotation < requestsPerRotation || waiting > 0) {
		return;
	}

	for (const executor of borrower.executors) {
		if (borrowers.getSpare(borrower, executor) > 0) {
			releaseCredits(borrower, executor, 1);
			borrower.endedSinceRotation = 0;
			return;
		}
	}
};

/**
 * Releases credits that are recalled, that are for unusable executors, or that
 * exceed both the coordinator's spare limit and the waiting requests.
 */
export const releaseSpares = (
	borrower: Borrower,
	waiting: number,
	now: number,
) => {
	borrowers.expireLease(borrower, now);
	const avoid = new Set(borrower.avoid);
	for (const executor of borrower.executors) {
		const recalled = borrowers.getRecalled(borrower, executor);
		const spare = borrowers.getSpare(borrower, executor);
		const unusable =
			avoid.has(executor) || !borrower.members.slots.has(executor);
		releaseCredits(
			borrower,
			executor,
			unusable ? spare : Math.min(spare, recalled),
		);
	}

	const limit = borrowers.isLeaving(borrower) ? 0 : borrower.spareLimit;
	rotateSpare(borrower, waiting);
	let excess = borrowers.countSpare(borrower) - Math.max(limit, waiting);
	for (const executor of borrower.executors) {
		if (excess <= 0) {
			return;
		}

		const count = Math.min(excess, borrowers.getSpare(borrower, executor));
		releaseCredits(borrower, executor, count);
		excess -= count;
	}
};

/** Sets the executors that health has ejected; their credits are released. */
export const updateAvoid = (borrower: Borrower, avoid: readonly string[]) => {
	borrower.avoid = avoid;
	borrower.dirty = true;
};

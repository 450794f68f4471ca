/**
 * Use of a borrower's credits: take a slot for a request, end it, give back
 * what is not needed. Functions change the given state.
 */
import type {Borrower} from './borrower.js';
import * as borrowers from './borrower.js';
import * as messages from './messages.js';

/** A request elsewhere must be this much more urgent to be let past. */
const yieldMarginMs = 50;

/** A request elsewhere that should have the next free slot. */
const isMoreUrgentElsewhere = (
	borrower: Borrower,
	deadlineMs: number,
): boolean => deadlineMs > borrower.urgentAtMs + yieldMarginMs;

/**
 * Takes a slot for one request: of the executors with a credit, the least
 * loaded for its weight (health, slow start; 0 is not used). Undefined if no
 * credit is free or one should go to a more urgent request elsewhere.
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
		messages.addCount(borrower.released, picked, 1);
		borrower.urgentAtMs = Number.POSITIVE_INFINITY;
		borrower.dirty = true;
		return undefined;
	}

	messages.addCount(borrower.inFlight, picked, 1);
	return picked;
};

const release = (borrower: Borrower, executor: string, count: number) => {
	if (count > 0) {
		messages.addCount(borrower.released, executor, count);
		borrower.dirty = true;
	}
};

/** The request has ended, in whatever way; its credit is spare again. */
export const finishSlot = (borrower: Borrower, executor: string) => {
	messages.addCount(borrower.inFlight, executor, -1);
	borrower.endedSinceRotation++;
};

/**
 * One request in so many gives a spare credit back, so that the home grants
 * another: else a quiet entry would keep to the executors that it began with.
 */
const requestsPerTurn = 8;

const takeTurn = (borrower: Borrower, waiting: number) => {
	if (borrower.endedSinceRotation < requestsPerTurn || waiting > 0) {
		return;
	}

	for (const executor of borrower.executors) {
		if (borrowers.getSpare(borrower, executor) > 0) {
			release(borrower, executor, 1);
			borrower.endedSinceRotation = 0;
			return;
		}
	}
};

/**
 * Gives back what is recalled, what is on executors not used, and all beyond
 * what the home lets the entry keep or the waiting requests will use.
 */
export const releaseSpares = (
	borrower: Borrower,
	waiting: number,
	now: number,
) => {
	borrowers.expireLease(borrower, now);
	const avoid = new Set(borrower.avoid);
	for (const executor of borrower.executors) {
		const asked = borrowers.getRecalled(borrower, executor);
		const spare = borrowers.getSpare(borrower, executor);
		const unusable =
			avoid.has(executor) || !borrower.members.slots.has(executor);
		release(borrower, executor, unusable ? spare : Math.min(spare, asked));
	}

	const limit = borrowers.isLeaving(borrower) ? 0 : borrower.spareLimit;
	takeTurn(borrower, waiting);
	let excess = borrowers.countSpare(borrower) - Math.max(limit, waiting);
	for (const executor of borrower.executors) {
		if (excess <= 0) {
			return;
		}

		const count = Math.min(excess, borrowers.getSpare(borrower, executor));
		release(borrower, executor, count);
		excess -= count;
	}
};

/** Executors that health has taken out; their credits go back. */
export const updateAvoid = (borrower: Borrower, avoid: readonly string[]) => {
	borrower.avoid = avoid;
	borrower.dirty = true;
};

/**
 * The gate of one pool on one entry: calls that wait for a slot, in order of
 * their deadlines, and the credits that let them pass.
 */
import * as core from '@gullstand/core';
import type {CreditEnvelope, CreditMessage, PoolMembers} from '@gullstand/core';
import type {Slot, TakeSlot} from '../upstream/types.js';

/** A call that waits; `pass` must take its slot before it returns. */
export type Waiter = {
	readonly deadline: number;
	readonly pass: () => void;
};

/** What a gate needs. */
export type PoolGateDeps = {
	readonly pool: string;
	readonly self: string;
	readonly settings: core.CreditSettings;
	readonly now: () => number;
	/** Sends without waiting; messages may be lost. */
	readonly send: (envelopes: readonly CreditEnvelope[]) => void;
	/** Requests that this entry may have on one executor, at most. */
	readonly getOwnLimit: () => number;
};

/** The gate of one pool. */
export type PoolGate = {
	readonly takeSlot: TakeSlot;
	/** Lets the call pass now or later; returns its removal from the queue. */
	readonly enter: (waiter: Waiter) => () => void;
	readonly update: (members: PoolMembers) => void;
	readonly receive: (message: CreditMessage) => void;
	/** Called once a heartbeat; what is to be sent is returned. */
	readonly tick: () => readonly CreditEnvelope[];
	/** Sends no more reports of its own accord. */
	readonly stop: () => void;
	readonly countWaiting: () => number;
	readonly getLimits: () => core.PoolLimits;
};

/** Reports within this time are sent as one. */
const reportGapMs = 1;

/** A slot whose attempt was given up is used again after this. */
const abandonedSlotMs = 50;

/** More rounds than a home on the entry itself ever needs. */
const maxRounds = 4;

/** Creates the gate; it has no slots before its first `update`. */
export const createPoolGate = (deps: PoolGateDeps): PoolGate => {
	const {pool, self, settings, now, send} = deps;
	const limits = core.poolLimits.createPoolLimits(pool, self, settings, now());
	const {borrower} = limits;
	const waiting: Waiter[] = [];
	let reported = 0;
	let turnDeadline: number | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isServing = false;
	let isStopped = false;

	const getDeadlines = () => waiting.map(({deadline}) => deadline);

	const hasUsable = (): boolean => {
		const time = now();
		for (const executor of borrower.members.slots.keys()) {
			const usable = core.creditBorrower.getUsable(borrower, executor, time);
			const inFlight = core.creditBorrower.getInFlight(borrower, executor);
			if (inFlight < Math.min(usable, deps.getOwnLimit())) {
				return true;
			}
		}

		return false;
	};

	const letPass = () => {
		while (waiting[0] && hasUsable()) {
			const waiter = waiting.shift()!;
			turnDeadline = waiter.deadline;
			waiter.pass();
			turnDeadline = undefined;
		}
	};

	/** Keeps the home from granting what this entry has no connections for. */
	const avoidFull = () => {
		const limit = deps.getOwnLimit();
		const full = [...borrower.members.slots.keys()].filter(
			(executor) =>
				core.creditBorrower.getInFlight(borrower, executor) >= limit,
		);
		if (full.join('\n') !== borrower.avoid.join('\n')) {
			core.creditSlots.updateAvoid(borrower, full);
		}
	};

	/** Lets pass what can, gives back what is spare, reports. */
	const serve = () => {
		if (isServing) {
			return;
		}

		isServing = true;
		const isHome = borrower.coordinator === self;
		for (let round = 0; round < maxRounds; round++) {
			letPass();
			avoidFull();
			core.creditSlots.releaseSpares(borrower, waiting.length, now());
			borrower.dirty ||= waiting.length > reported;
			reported = waiting.length;
			if (!isHome || !borrower.dirty) {
				break;
			}

			send(core.poolLimits.flushReport(limits, getDeadlines(), now()));
		}

		isServing = false;
		// Without a home there is nobody to tell; its coming calls `update`.
		const mayReport = !isHome && borrower.coordinator !== undefined;
		if (mayReport && borrower.dirty && !isStopped) {
			timer ??= setTimeout(flush, reportGapMs);
		}
	};

	const flush = () => {
		timer = undefined;
		send(core.poolLimits.flushReport(limits, getDeadlines(), now()));
		serve();
	};

	const createSlot = (executor: string): Slot => {
		let isHeld = true;
		const end = () => {
			core.creditSlots.finishSlot(borrower, executor);
			serve();
		};

		return {
			executor,
			release(mayStillRun) {
				if (!isHeld) {
					return;
				}

				isHeld = false;
				if (mayStillRun) {
					setTimeout(end, abandonedSlotMs);
				} else {
					end();
				}
			},
		};
	};

	return {
		takeSlot(candidates) {
			const weights = new Map(candidates.map((each) => [each.id, each.weight]));
			const executor = core.creditSlots.acquireSlot(
				borrower,
				now(),
				turnDeadline ?? now(),
				(id) =>
					core.creditBorrower.getInFlight(borrower, id) < deps.getOwnLimit()
						? (weights.get(id) ?? 0)
						: 0,
			);
			return executor === undefined ? undefined : createSlot(executor);
		},
		enter(waiter) {
			const found = waiting.findIndex(
				({deadline}) => deadline > waiter.deadline,
			);
			waiting.splice(found === -1 ? waiting.length : found, 0, waiter);
			serve();
			return () => {
				const index = waiting.indexOf(waiter);
				if (index !== -1) {
					waiting.splice(index, 1);
				}
			};
		},
		update(members) {
			core.poolLimits.updatePool(limits, members, now());
			serve();
		},
		receive(message) {
			send(core.poolLimits.receiveMessage(limits, message, now()));
			serve();
		},
		tick() {
			const envelopes = core.poolLimits.tickPool(limits, now());
			serve();
			return [
				...envelopes,
				...core.poolLimits.flushReport(limits, getDeadlines(), now()),
			];
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
		countWaiting: () => waiting.length,
		getLimits: () => limits,
	};
};

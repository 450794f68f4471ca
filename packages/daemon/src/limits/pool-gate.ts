/**
 * The gate of one pool on one entry: queues calls that wait for a slot in order
 * of deadline, and admits them as credits allow.
 */
import * as core from '@gullstand/core';
import type {CreditEnvelope, CreditMessage, PoolMembers} from '@gullstand/core';
import type {Slot, TakeSlot} from '../upstream/types.js';

/** A waiting call; `admit` must acquire its slot before it returns. */
export type Waiter = {
	readonly deadline: number;
	readonly admit: () => void;
};

/** Dependencies of a gate. */
export type PoolGateDeps = {
	readonly pool: string;
	readonly self: string;
	readonly settings: core.CreditSettings;
	readonly now: () => number;
	/** Sends without waiting for delivery; messages may be lost. */
	readonly send: (envelopes: readonly CreditEnvelope[]) => void;
	/** Maximum requests from this entry on one executor. */
	readonly getOwnLimit: () => number;
};

/** The gate of one pool. */
export type PoolGate = {
	readonly takeSlot: TakeSlot;
	/** Admits the call now or later; the returned function removes it. */
	readonly enqueue: (waiter: Waiter) => () => void;
	readonly update: (members: PoolMembers) => void;
	readonly receive: (message: CreditMessage) => void;
	/** Called once per heartbeat; returns the messages to send. */
	readonly tick: () => readonly CreditEnvelope[];
	/** Stops scheduling reports. */
	readonly stop: () => void;
	readonly countWaiting: () => number;
	readonly getLimits: () => core.PoolLimits;
};

/** Reports within this time are merged into one. */
const reportDelayMs = 1;

/** Time until the slot of an abandoned attempt is reused. */
const abandonedSlotMs = 50;

/** Upper bound of rounds with a credit coordinator on the same entry. */
const maxRounds = 4;

/** Creates a gate; it has no slots before its first `update`. */
export const createPoolGate = (deps: PoolGateDeps): PoolGate => {
	const {pool, self, settings, now, send} = deps;
	const limits = core.poolLimits.createPoolLimits(pool, self, settings, now());
	const {borrower} = limits;
	const waiting: Waiter[] = [];
	let reportedWaiting = 0;
	/** The waiter that is being admitted, and the time at which it may be. */
	let admitted: {readonly deadline: number; readonly at: number} | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isProcessing = false;
	let isStopped = false;

	const getDeadlines = () => waiting.map(({deadline}) => deadline);

	const hasUsable = (time: number): boolean => {
		for (const executor of borrower.members.slots.keys()) {
			const usable = core.creditBorrower.getUsable(borrower, executor, time);
			const inFlight = core.creditBorrower.getInFlight(borrower, executor);
			if (inFlight < Math.min(usable, deps.getOwnLimit())) {
				return true;
			}
		}

		return false;
	};

	const admitWaiting = () => {
		for (;;) {
			const at = now();
			const [waiter] = waiting;
			if (!waiter || !hasUsable(at)) {
				return;
			}

			const {deadline} = waiter;
			if (!core.creditSlots.yieldSlot(borrower, at, deadline)) {
				waiting.shift();
				admitted = {deadline, at};
				waiter.admit();
				admitted = undefined;
			}
		}
	};

	/** Excludes executors to which this entry has no free connections. */
	const avoidSaturated = () => {
		const limit = deps.getOwnLimit();
		const saturated = [...borrower.members.slots.keys()].filter(
			(executor) =>
				core.creditBorrower.getInFlight(borrower, executor) >= limit,
		);
		if (saturated.join('\n') !== borrower.avoid.join('\n')) {
			core.creditSlots.updateAvoid(borrower, saturated);
		}
	};

	/** Admits waiting calls, returns spare credits and reports demand. */
	const processQueue = () => {
		if (isProcessing) {
			return;
		}

		isProcessing = true;
		const isCoordinator = borrower.coordinator === self;
		for (let round = 0; round < maxRounds; round++) {
			admitWaiting();
			avoidSaturated();
			core.creditSlots.releaseSpares(borrower, waiting.length, now());
			borrower.dirty ||= waiting.length > reportedWaiting;
			reportedWaiting = waiting.length;
			if (!isCoordinator || !borrower.dirty) {
				break;
			}

			send(core.poolLimits.flushReport(limits, getDeadlines(), now()));
		}

		isProcessing = false;
		// Without a coordinator there is no receiver; a new one calls `update`.
		const mayReport = !isCoordinator && borrower.coordinator !== undefined;
		if (mayReport && borrower.dirty && !isStopped) {
			timer ??= setTimeout(flush, reportDelayMs);
		}
	};

	const flush = () => {
		timer = undefined;
		send(core.poolLimits.flushReport(limits, getDeadlines(), now()));
		processQueue();
	};

	const createSlot = (executor: string): Slot => {
		let isHeld = true;
		const end = () => {
			core.creditSlots.finishSlot(borrower, executor);
			processQueue();
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
				admitted?.at ?? now(),
				admitted?.deadline ?? now(),
				(id) =>
					core.creditBorrower.getInFlight(borrower, id) < deps.getOwnLimit()
						? (weights.get(id) ?? 0)
						: 0,
			);
			return executor === undefined ? undefined : createSlot(executor);
		},
		enqueue(waiter) {
			const found = waiting.findIndex(
				({deadline}) => deadline > waiter.deadline,
			);
			waiting.splice(found === -1 ? waiting.length : found, 0, waiter);
			processQueue();
			return () => {
				const index = waiting.indexOf(waiter);
				if (index !== -1) {
					waiting.splice(index, 1);
				}
			};
		},
		update(members) {
			core.poolLimits.updatePool(limits, members, now());
			processQueue();
		},
		receive(message) {
			send(core.poolLimits.receiveMessage(limits, message, now()));
			processQueue();
		},
		tick() {
			const envelopes = core.poolLimits.tickPool(limits, now());
			processQueue();
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

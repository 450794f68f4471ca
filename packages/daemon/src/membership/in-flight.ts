/**
 * Counts this entry's in-flight requests by instance and keeps an isolated
 * entry from selecting an executor. A request whose connection was cut stays
 * counted for the longest request time: the executor may still run it.
 */
import type {Slot, TakeSlot} from '../upstream/types.js';

/** Dependencies of the counter. */
export type InFlightDeps = {
	/** Called at each selection, in the same turn as the send. */
	readonly mayRoute: () => boolean;
	readonly longestRequestMs: number;
	readonly now: () => number;
};

/** In-flight counts by instance. */
export type InFlight = {
	readonly wrap: (takeSlot: TakeSlot) => TakeSlot;
	readonly count: (instance: string) => number;
};

export const createInFlight = (deps: InFlightDeps): InFlight => {
	const runningCounts = new Map<string, number>();
	/** When requests cut off at an instance have certainly ended. */
	const cutUntil = new Map<string, number>();

	const add = (instance: string, change: number) => {
		runningCounts.set(instance, (runningCounts.get(instance) ?? 0) + change);
	};

	const countSlot = (slot: Slot): Slot => {
		let isHeld = true;
		add(slot.executor, 1);
		return {
			executor: slot.executor,
			release(mayStillRun) {
				if (!isHeld) {
					return;
				}

				isHeld = false;
				add(slot.executor, -1);
				if (mayStillRun) {
					cutUntil.set(slot.executor, deps.now() + deps.longestRequestMs);
				}

				slot.release(mayStillRun);
			},
		};
	};

	return {
		wrap: (takeSlot) => (candidates) => {
			if (!deps.mayRoute()) {
				return undefined;
			}

			const slot = takeSlot(candidates);
			return slot && countSlot(slot);
		},
		count(instance) {
			const isCut = (cutUntil.get(instance) ?? 0) > deps.now();
			if (!isCut) {
				cutUntil.delete(instance);
			}

			return (runningCounts.get(instance) ?? 0) + (isCut ? 1 : 0);
		},
	};
};

/**
 * Counts this entry's requests by instance, from the pick to the end of the
 * work, and lets an isolated entry pick nothing. A request whose connection
 * was cut counts on for the longest request: the executor may still run it.
 */
import type {Slot, TakeSlot} from '../upstream/types.js';

/** What the count needs. */
export type InFlightDeps = {
	/** Asked at each pick, in the turn in which the request is sent. */
	readonly mayRoute: () => boolean;
	readonly longestRequestMs: number;
	readonly now: () => number;
};

/** The count. */
export type InFlight = {
	readonly wrap: (takeSlot: TakeSlot) => TakeSlot;
	readonly count: (instance: string) => number;
};

/** Creates a count at zero. */
export const createInFlight = (deps: InFlightDeps): InFlight => {
	const running = new Map<string, number>();
	/** Times at which cut requests have surely ended, by instance. */
	const cut = new Map<string, number>();

	const add = (instance: string, change: number) => {
		running.set(instance, (running.get(instance) ?? 0) + change);
	};

	const hold = (slot: Slot): Slot => {
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
					cut.set(slot.executor, deps.now() + deps.longestRequestMs);
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
			return slot && hold(slot);
		},
		count(instance) {
			const isCut = (cut.get(instance) ?? 0) > deps.now();
			if (!isCut) {
				cut.delete(instance);
			}

			return (running.get(instance) ?? 0) + (isCut ? 1 : 0);
		},
	};
};

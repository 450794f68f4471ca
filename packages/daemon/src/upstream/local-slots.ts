/**
 * Takes slots on the executor with the least load for its weight, counting
 * requests of this entry only. Used where no limit across entries is set.
 */
import type {Slot, TakeSlot} from './types.js';

const tieTolerance = 1e-9;

/** Creates a function that takes slots by the requests of this entry. */
export const createLocalSlots = (
	slotsPerExecutor: number,
	random: () => number,
): TakeSlot => {
	const inFlight = new Map<string, number>();

	const take = (id: string): Slot => {
		inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
		let isHeld = true;
		return {
			executor: id,
			release() {
				if (isHeld) {
					isHeld = false;
					inFlight.set(id, (inFlight.get(id) ?? 1) - 1);
				}
			},
		};
	};

	return (candidates) => {
		let chosen: string | undefined;
		let lowest = Number.POSITIVE_INFINITY;
		let ties = 0;
		for (const {id, weight} of candidates) {
			const load = inFlight.get(id) ?? 0;
			const score = (load + 1) / weight;
			if (load >= slotsPerExecutor || score > lowest + tieTolerance) {
				continue;
			}

			ties = score < lowest - tieTolerance ? 1 : ties + 1;
			lowest = Math.min(lowest, score);
			if (random() * ties < 1) {
				chosen = id;
			}
		}

		return chosen === undefined ? undefined : take(chosen);
	};
};

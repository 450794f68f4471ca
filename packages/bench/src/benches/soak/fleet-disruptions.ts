/** Disruptions of the fleet, beside the other disruptions of a soak. */
import {
	drawDisruption,
	pick,
	type Disrupting,
	type TimedDisruption,
} from './schedule.js';
import type {QueueMovesOptions} from './queue-moves.js';

const kinds = ['service-cut'] as const satisfies readonly Disrupting[];

/** Draws disruptions of the fleet, each at the time of another disruption. */
export const drawFleetDisruptions = (
	options: QueueMovesOptions,
): readonly TimedDisruption[] => {
	const {random, only, count, schedule} = options;
	const drawn = kinds.filter((kind) => !only || only.includes(kind));
	return schedule.length === 0 || drawn.length === 0
		? []
		: Array.from({length: count}, (_, index) => ({
				...drawDisruption(pick(random, drawn), options),
				id: 1000 + index,
				atMs: pick(random, schedule).atMs,
			}));
};

/** Disruptions of the fleet, beside the other disruptions of a soak. */
import {
	drawDisruption,
	pick,
	type Disrupting,
	type TimedDisruption,
} from './schedule.js';
import type {QueueMovesOptions} from './queue-moves.js';

const kinds = [
	'service-cut',
	'service-cut-unlisted',
	'executor-add',
	'executor-remove',
	'executor-replace',
	'entries-lapse',
	'wave',
] as const satisfies readonly Disrupting[];

/** Beyond those of the other disruptions. */
const firstId = 1000;

/** Disruptions after which their series goes on, so that the rests stay. */
const listEarly = (
	schedule: readonly TimedDisruption[],
): readonly TimedDisruption[] => {
	const early = schedule.filter(({atMs}) =>
		schedule.some((later) => {
			const afterMs = later.atMs - atMs;
			return afterMs > 4000 && afterMs < 9000;
		}),
	);
	return early.length > 0 ? early : schedule;
};

/**
 * Draws disruptions of the fleet, each at the time of another disruption; the
 * kinds follow each other.
 */
export const drawFleetDisruptions = (
	options: QueueMovesOptions,
): readonly TimedDisruption[] => {
	const {random, only, count, schedule} = options;
	const drawn = kinds
		.filter((kind) => !only || only.includes(kind))
		.map((kind) => ({kind, rank: random()}))
		.toSorted((one, two) => one.rank - two.rank);
	const early = listEarly(schedule);
	return schedule.length === 0 || drawn.length === 0
		? []
		: Array.from({length: count}, (_, index) => ({
				...drawDisruption(drawn[index % drawn.length]!.kind, options),
				id: firstId + index,
				atMs: pick(random, early).atMs,
			}));
};

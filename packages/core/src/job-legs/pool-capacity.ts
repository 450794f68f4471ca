/** Room asked for and room held in a pool over time, from log lines. */
import type {LogLine} from './read-jobs.js';

/** A pool at one time, in machines. */
export type PoolCapacity = {
	readonly at: number;
	/** What runs and waits. */
	readonly asked: number;
	readonly held: number;
};

type PoolFields = {readonly asked?: unknown; readonly held?: unknown};

/** What the fleet's holders told of a pool, the earliest first. */
export const readPoolCapacity = (
	lines: readonly LogLine[],
	pool: string,
): readonly PoolCapacity[] =>
	lines
		.flatMap(({at, message, fields}) => {
			const pools = fields.pools as Record<string, PoolFields> | undefined;
			const own = message === 'pools' ? pools?.[pool] : undefined;
			return own
				? [{at, asked: Number(own.asked), held: Number(own.held)}]
				: [];
		})
		.toSorted((one, two) => one.at - two.at);

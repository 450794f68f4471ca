/** Required and available capacity of a pool over time, from log lines. */
import type {LogLine} from './read-jobs.js';

/** Capacity of a pool at one time, in machines. */
export type PoolCapacity = {
	readonly at: number;
	/** Machines required by running and waiting tasks. */
	readonly asked: number;
	/** Machines that were up in the pool. */
	readonly held: number;
};

type PoolFields = {readonly asked?: unknown; readonly held?: unknown};

/**
 * Reads the capacity of a pool as logged by the holders of the fleet shard, the
 * earliest first.
 */
export const readPoolCapacity = (
	lines: readonly LogLine[],
	pool: string,
): readonly PoolCapacity[] =>
	lines
		.flatMap(({at, message, fields}) => {
			const pools = fields.pools as Record<string, PoolFields> | undefined;
			const logged = message === 'pools' ? pools?.[pool] : undefined;
			return logged
				? [{at, asked: Number(logged.asked), held: Number(logged.held)}]
				: [];
		})
		.toSorted((one, two) => one.at - two.at);

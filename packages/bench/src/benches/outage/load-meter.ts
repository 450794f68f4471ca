/** Records the times of calls that reach the store. */
import type {TableService} from '@gullstand/ports';

/** Arrival times of one kind of call, in milliseconds and in order. */
export type Arrivals = number[];

/** A metered table service and the arrivals of its calls. */
export type LoadMeter = {
	readonly reads: Arrivals;
	readonly writes: Arrivals;
	readonly tables: TableService;
};

/** Wraps a table service with a meter of its calls. */
export const createLoadMeter = (
	inner: TableService,
	now: () => number,
): LoadMeter => {
	const reads: Arrivals = [];
	const writes: Arrivals = [];
	return {
		reads,
		writes,
		tables: {
			async get(table, key) {
				reads.push(now());
				return inner.get(table, key);
			},
			async range(query) {
				reads.push(now());
				return inner.range(query);
			},
			async commit(transaction, operationId) {
				writes.push(now());
				return inner.commit(transaction, operationId);
			},
		},
	};
};

const secondMs = 1000;

/** Returns the most arrivals in any second that begins in [from, to). */
export const getPeakPerSecond = (
	arrivals: Arrivals,
	from: number,
	to: number,
): number => {
	let most = 0;
	let first = 0;
	for (const [index, at] of arrivals.entries()) {
		while (arrivals[first]! <= at - secondMs || arrivals[first]! < from) {
			if (first === index) {
				break;
			}

			first += 1;
		}

		if (at >= from && at < to + secondMs && arrivals[first]! >= from) {
			most = Math.max(most, index - first + 1);
		}
	}

	return most;
};

/** Returns the mean arrivals per second over [from, to). */
export const getMeanPerSecond = (
	arrivals: Arrivals,
	from: number,
	to: number,
): number =>
	arrivals.filter((at) => at >= from && at < to).length /
	((to - from) / secondMs);

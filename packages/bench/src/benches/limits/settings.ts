/** Sizes and loads on which the strategies are compared. */

/** One service with its own pool. */
export type PoolSettings = {
	readonly name: string;
	readonly executors: readonly string[];
	/** Median of the log-normal service time. */
	readonly medianMs: number;
	/** Time from arrival at an entry until an answer is late. */
	readonly answerWithinMs: number;
};

/** Distribution of the load over the entries. */
export type Load = 'even' | 'skewed' | 'bursty';

export const slotsPerExecutor = 8;
export const connectionsPerExecutor = 64;
export const entryCount = 9;
export const linkMinMs = 1;
export const linkMaxMs = 3;
export const serviceSigma = 0.5;
/** Time until an entry reuses the slot of an attempt that it cancelled. */
export const slotReuseDelayMs = 4;
export const loadFraction = 0.85;
/** Time from the loss of an entry until the list shows its replacement. */
export const listLagMs = 3000;
/** Time from the end of a process until its peers see it refuse connections. */
export const connectionRefusedAfterMs = 20;
/** Maximum time until an entry reads a changed list. */
export const listReadMs = 500;
/** Time from the listing of a new entry until it receives callers. */
export const warmUpMs = 1000;
/** Time until an executor closes the connections of a lost entry. */
export const deadConnectionMs = 30_000;

const executorCounts = [6, 7, 8, 9, 7];
const mediansMs = [40, 60, 80, 100, 120];
const answerFactor = 5;

/** Five services with 6 to 9 executors each. */
export const pools: readonly PoolSettings[] = executorCounts.map(
	(count, index) => {
		const medianMs = mediansMs[index] ?? 0;
		const name = `service-${index + 1}`;
		return {
			name,
			executors: Array.from(
				{length: count},
				(_, each) => `${name}/executor-${each + 1}`,
			),
			medianMs,
			answerWithinMs: answerFactor * medianMs,
		};
	},
);

/** Returns the time after which the median service time misses the deadline. */
export const getGiveUpMs = (pool: PoolSettings, deadlineMs: number): number =>
	deadlineMs - pool.medianMs;

/** Mean of the log-normal service time. */
export const getMeanMs = (pool: PoolSettings): number =>
	pool.medianMs * Math.exp(serviceSigma ** 2 / 2);

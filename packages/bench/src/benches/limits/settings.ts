/** Sizes of the brief, and the loads that the ways are compared on. */

/** One service with a pool of its own. */
export type PoolSettings = {
	readonly name: string;
	readonly executors: readonly string[];
	/** Median of the log-normal service time. */
	readonly medianMs: number;
	/** Time from arrival at an entry within which an answer is on time. */
	readonly answerWithinMs: number;
};

/** Shape of the load on the entries. */
export type Load = 'even' | 'skewed' | 'bursty';

export const slotsPerExecutor = 8;
export const connectionsPerExecutor = 64;
export const entryCount = 9;
export const linkMinMs = 1;
export const linkMaxMs = 3;
export const serviceSigma = 0.5;
/** An entry uses the slot of an attempt that it cut again after this. */
export const slotReuseDelayMs = 4;
export const loadFraction = 0.85;
/** From the loss of an entry until the list shows it and its replacement. */
export const listLagMs = 3000;
/** From the end of a process until its peers find connections refused. */
export const connectionRefusedAfterMs = 20;
/** Each entry reads the list within this time. */
export const listReadMs = 500;
/** From being listed until the balancer sends callers to a new entry. */
export const warmUpMs = 1000;
/** An executor closes the connections of a lost entry after this. */
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

/** A waiting request is given up when the median time no longer fits. */
export const getGiveUpMs = (pool: PoolSettings, deadlineMs: number): number =>
	deadlineMs - pool.medianMs;

/** Mean of the log-normal service time. */
export const getMeanMs = (pool: PoolSettings): number =>
	pool.medianMs * Math.exp(serviceSigma ** 2 / 2);

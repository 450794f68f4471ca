/**
 * Weights of executors for the next request: slow start after an ejection, and
 * fail-open when every executor is ejected or failing.
 */
import * as outlier from './outlier-detection.js';

/** An executor that may get a request; weight in (0, 1]. */
export type WeightedExecutor = {
	readonly id: string;
	readonly weight: number;
};

const getWeight = (
	{slowStartMs, slowStartWeight}: outlier.PoolHealth['cfg'],
	status: outlier.HealthStatus,
	now: number,
): number => {
	switch (status.kind) {
		case 'serving': {
			return 1;
		}

		case 'ejected': {
			return 0;
		}

		case 'returning': {
			const grown = (now - status.since) / slowStartMs;
			return Math.min(1, slowStartWeight + (1 - slowStartWeight) * grown);
		}
	}
};

/** Lists executors that may get a request now; all if the pool fails open. */
export const listWeights = (
	pool: outlier.PoolHealth,
	now: number,
): WeightedExecutor[] => {
	const weighted: WeightedExecutor[] = [];
	const failOpen = outlier.isFailOpen(pool);
	for (const {id, status} of pool.executors.values()) {
		const weight = failOpen ? 1 : getWeight(pool.cfg, status, now);
		if (weight > 0) {
			weighted.push({id, weight});
		}
	}

	return weighted;
};

/** Lists executors whose ejection has ended; a probe readmits them. */
export const listDueProbes = (
	pool: outlier.PoolHealth,
	now: number,
): string[] => {
	const due: string[] = [];
	for (const {id, status} of pool.executors.values()) {
		if (status.kind === 'ejected' && now >= status.until) {
			due.push(id);
		}
	}

	return due;
};

/**
 * Who may take the next request and at what weight: slow start after an
 * ejection, fail-open when nothing that is known to be good is left.
 */
import * as outlier from './outlier-detection.js';

/** An executor that may take a request; weight in (0, 1]. */
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

/** The executors that may take a request now; all of them when failed open. */
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

/** Ejected executors whose time is over: each is probed before it returns. */
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

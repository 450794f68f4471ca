/**
 * Shards that this daemon failed to run. It claims them again only after a
 * pause, so that another daemon takes over. The pause doubles with each failure
 * in a row, since a fault that every holder meets would pass the shard on and on.
 */
import {shardPeriods} from './shard-periods.js';

export type ShardFailures = {
	readonly add: (shard: string) => void;
	/**
	 * Whether the shard is left to other daemons. Without a live one, the pause
	 * does not grow: nobody else would claim the shard.
	 */
	readonly isPausing: (shard: string, areOthersLive: boolean) => boolean;
};

/** Remembers failures by the monotonic clock `now`, in milliseconds. */
export const createShardFailures = (now: () => number): ShardFailures => {
	const failures = new Map<
		string,
		{readonly pauseMs: number; readonly failedAt: number}
	>();
	const {failurePauseMs, maxFailurePauseMs} = shardPeriods;
	return {
		add(shard) {
			const previous = failures.get(shard);
			const isInRow =
				previous !== undefined &&
				now() < previous.failedAt + previous.pauseMs + maxFailurePauseMs;
			const pauseMs = isInRow
				? Math.min(maxFailurePauseMs, 2 * previous.pauseMs)
				: failurePauseMs;
			failures.set(shard, {pauseMs, failedAt: now()});
		},
		isPausing(shard, areOthersLive) {
			const last = failures.get(shard);
			const pauseMs = areOthersLive ? last?.pauseMs : failurePauseMs;
			return last !== undefined && now() < last.failedAt + (pauseMs ?? 0);
		},
	};
};

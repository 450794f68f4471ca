/**
 * Throttles tasks that use idle capacity. They slow down the tasks that serve
 * requests next to them, so their speed limit follows the reported tail
 * latencies: it falls quickly and rises slowly.
 */
import type {Executor} from '../state/executor.js';
import type {Run} from '../state/task.js';

/** Settings of the control loop. */
export const throttleConfig = {
	/** If the tail exceeds this share of its target, cut the limit ... */
	cutAbove: 0.95,
	/** ... to this share of its value. */
	cutTo: 0.3,
	/** If the tail exceeds this share of its target, reduce the limit ... */
	easeAbove: 0.8,
	/** ... to this share of its value. */
	easeTo: 0.7,
	/** If the tail is below this share of its target, raise the limit ... */
	raiseBelow: 0.6,
	/** ... by this many percentage points. */
	raiseBy: 15,
	/**
	 * Minimum time between two changes on one executor, in milliseconds. Tails
	 * cover the last 500 ms, and a change takes 100 ms to take effect.
	 */
	intervalMs: 650,
} as const;

/** A command to change the speed limit of a run. */
export type ThrottleCommand = {
	readonly run: Run;
	/** The new limit. */
	readonly percent: number;
	/** Worst tail latency on the executor as a share of its target. */
	readonly tailShare: number;
};

const getTailShare = ({task, load}: Run): number => {
	const {targetTailMs} = task.step.spec;
	return targetTailMs === undefined ? 0 : load / targetTailMs;
};

/** The limit that is in force; `undefined` if it is not known. */
const getLimit = ({speedLimitPercent, isAdopted}: Run): number | undefined => {
	switch (speedLimitPercent) {
		case 'unknown': {
			return undefined;
		}

		case 'unset': {
			// An earlier owner may have set one.
			return isAdopted ? undefined : 100;
		}

		default: {
			return speedLimitPercent;
		}
	}
};

/** Limit to go on from if the one in force is not known. */
const assumeLimit = (tailShare: number): number =>
	tailShare === 0 ? 100 : 100 * throttleConfig.cutTo;

const getNextPercent = (percent: number, tailShare: number): number => {
	const {cutAbove, cutTo, easeAbove, easeTo, raiseBelow, raiseBy} =
		throttleConfig;
	if (tailShare > cutAbove) {
		return Math.floor(percent * cutTo);
	}

	if (tailShare > easeAbove) {
		return Math.floor(percent * easeTo);
	}

	return tailShare < raiseBelow ? Math.min(100, percent + raiseBy) : percent;
};

/** Plans changes of the speed limits on one executor from the last tails. */
export const planThrottling = (
	executor: Executor,
): readonly ThrottleCommand[] => {
	const runs = [...executor.runs.values()].filter(
		({state}) => state === 'running',
	);
	const tailShare = Math.max(0, ...runs.map((run) => getTailShare(run)));
	return runs
		.filter(({task}) => task.step.spec.fillsIdleCapacity)
		.map((run) => ({
			run,
			percent: getNextPercent(
				getLimit(run) ?? assumeLimit(tailShare),
				tailShare,
			),
			tailShare,
		}))
		.filter(({run, percent}) => percent !== getLimit(run));
};

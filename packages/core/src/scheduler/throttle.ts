/**
 * How fast tasks that fill idle capacity may work. They disturb tasks that
 * serve users by amounts that change within seconds, so their pace follows
 * the reported tails: down quickly, up slowly.
 */
import type {Executor} from './executor.js';
import type {Run} from './task.js';

/** Settings of the control loop. */
export const throttleConfig = {
	/** Above this share of its target a tail is brought down at once ... */
	cutAbove: 0.95,
	/** ... to this share of the pace. */
	cutTo: 0.3,
	/** Above this share of the target the pace goes down ... */
	easeAbove: 0.8,
	/** ... to this share of it. */
	easeTo: 0.7,
	/** Below this share of the target the pace goes up ... */
	raiseBelow: 0.6,
	/** ... by so many percent. */
	raiseBy: 15,
	/**
	 * Least time between two changes on one executor, in milliseconds: the
	 * tails are those of the last half second, and a pace takes 100 ms.
	 */
	intervalMs: 650,
} as const;

/** A change of pace to be ordered. */
export type ThrottleCommand = {
	readonly run: Run;
	readonly percent: number;
	/** Worst tail on the executor as a share of its target. */
	readonly tailShare: number;
};

const getTailShare = ({task, load}: Run): number => {
	const {targetTailMs} = task.step.spec;
	return targetTailMs === undefined ? 0 : load / targetTailMs;
};

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

/** Changes of pace on one executor, by the tails last reported. */
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
			percent: getNextPercent(run.speedLimitPercent, tailShare),
			tailShare,
		}))
		.filter(({run, percent}) => percent !== run.speedLimitPercent);
};

/**
 * Where jobs go during a wave: to instances that are done. So a job that has moved is on a worker that this wave leaves alone,
 * and moves at most once a wave unless that worker fails.
 */
import {isLostInLedger} from './allowance.js';
import type {WaveContext} from './context.js';
import type {InstanceFacts, RunningJob, WaveFacts} from './facts.js';
import type {Progress} from './progress.js';

/** How good a place an instance is for a new job while the wave runs. */
export type PlacementAdvice =
	/** Done, or not in the wave. */
	| 'good'
	/** Its turn is still to come. */
	| 'later'
	/** Being emptied, or away. */
	| 'never';

/**
 * Advice for the placement of jobs. One that has moved in this wave goes only
 * where it will not have to move again.
 */
export const getPlacementAdvice = (
	progress: Progress,
	instanceId: string,
	hasMoved = false,
): PlacementAdvice => {
	const kind = progress.members.get(instanceId)?.phase.kind;
	if (kind === 'evacuating' || kind === 'taken') {
		return 'never';
	}

	const {state} = progress.wave;
	const isOver = state === 'done' || state === 'cancelled';
	if (kind !== 'pending' || isOver) {
		return 'good';
	}

	return hasMoved ? 'never' : 'later';
};

const noRoom = {cores: 0, memoryMb: 0} as const;

const hasRoom = (
	progress: Progress,
	facts: InstanceFacts,
	job: RunningJob,
): boolean => {
	const promised = progress.reservedByWorker.get(facts.id) ?? noRoom;
	return (
		facts.coresFree - promised.cores >= job.cores &&
		facts.memoryMbFree - promised.memoryMb >= job.memoryMb
	);
};

const isUsable = (
	candidate: InstanceFacts | undefined,
	facts: WaveFacts,
): candidate is InstanceFacts =>
	candidate?.state === 'serving' && !isLostInLedger(candidate, facts);

/** The fullest done worker of the job's pool that has room; or none. */
export const pickTarget = (
	{progress, facts}: WaveContext,
	pool: string,
	job: RunningJob,
): string | undefined => {
	let best: InstanceFacts | undefined;
	for (const id of progress.doneByPool.get(pool) ?? []) {
		const candidate = facts.instances.get(id);
		const isTighter =
			best === undefined ||
			(candidate?.coresFree ?? Number.POSITIVE_INFINITY) < best.coresFree;
		if (
			isTighter &&
			isUsable(candidate, facts) &&
			hasRoom(progress, candidate, job)
		) {
			best = candidate;
		}
	}

	return best?.id;
};

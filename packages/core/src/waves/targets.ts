/**
 * Targets for jobs that leave evacuating workers: only maintained workers. A
 * moved job is not disturbed again by the same wave, so it moves at most once
 * unless its worker fails.
 */
import {isLostInLedger} from './allowance.js';
import type {WaveContext} from './context.js';
import type {InstanceFacts, RunningJob, WaveFacts} from './facts.js';
import type {Progress} from './progress.js';

/** Suitability of an instance for a new job while the wave runs. */
export type PlacementAdvice =
	/** Maintained, or not part of the wave. */
	| 'good'
	/** Not yet evacuated by the wave. */
	| 'later'
	/** Evacuating or withdrawn. */
	| 'never';

/**
 * Returns placement advice for an instance. A job that this wave has moved is
 * placed only where the wave will not move it again.
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

const noResources = {cores: 0, memoryMb: 0} as const;

const hasRoom = (
	progress: Progress,
	facts: InstanceFacts,
	job: RunningJob,
): boolean => {
	const reserved = progress.reservedByWorker.get(facts.id) ?? noResources;
	return (
		facts.coresFree - reserved.cores >= job.cores &&
		facts.memoryMbFree - reserved.memoryMb >= job.memoryMb
	);
};

const isUsable = (
	candidate: InstanceFacts | undefined,
	facts: WaveFacts,
): candidate is InstanceFacts =>
	candidate?.state === 'serving' && !isLostInLedger(candidate, facts);

/**
 * Returns the maintained worker of the pool with the fewest free cores that has
 * room for the job, or undefined.
 */
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

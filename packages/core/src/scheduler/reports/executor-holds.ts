/**
 * Executors that are to be free for commands of the fleet's holder, with what
 * each waits for. For the log and the metrics of their owner.
 */
import {
	hasRoomElsewhere,
	mayStopLongRunning,
} from '../plan/long-running-stops.js';
import {
	evacuationPhases,
	type EvacuationPhase,
	type Executor,
} from '../state/executor.js';
import type {Owner} from '../state/owner-state.js';
import type {Run} from '../state/task.js';

/** What an executor that is being evacuated waits for. */
export const holdWaits = {
	/** The service can't do without it now. */
	turn: 'turn',
	/** It does not answer. */
	answer: 'answer',
	/** Runs of unknown jobs. */
	strays: 'strays',
	/** A long-running task has room on no other executor. */
	room: 'room-elsewhere',
	/** The disruption budget of a long-running step is used. */
	budget: 'disruption-budget',
	/** Its runs are being stopped. */
	stops: 'stops',
	/** Its runs may end by themselves. */
	runs: 'runs',
	/** It is empty, and its reservation is not stored. */
	reservation: 'reservation',
	/** It is reserved: the fleet's holder may send its command. */
	command: 'command',
} as const;

/** One of `holdWaits`. */
export type HoldWait = (typeof holdWaits)[keyof typeof holdWaits];

/** An executor that is kept free. */
export type ExecutorHold = {
	readonly executor: string;
	/** Who asked for it; absent if that is not known or no longer asked. */
	readonly claimant: string | undefined;
	/** Since the first request, in milliseconds; absent if no longer asked. */
	readonly heldMs: number | undefined;
	/** Which work it takes meanwhile; absent if no longer asked. */
	readonly phase: EvacuationPhase | undefined;
	readonly waitsFor: HoldWait;
	readonly runs: number;
};

const findLongRunningWait = (
	owner: Owner,
	runs: readonly Run[],
	now: number,
): HoldWait | undefined => {
	const waiting = runs.find(
		({task, state}) => state === 'running' && task.step.spec.isLongRunning,
	);
	if (!waiting) {
		return undefined;
	}

	if (!mayStopLongRunning(owner, waiting.task)) {
		return holdWaits.budget;
	}

	return hasRoomElsewhere(owner, waiting.task, now)
		? undefined
		: holdWaits.room;
};

const findWait = (
	owner: Owner,
	{runs, orphanedRunCount, unresponsiveSince, isAdopted, evacuation}: Executor,
	now: number,
): HoldWait => {
	if (unresponsiveSince !== undefined || !isAdopted) {
		return holdWaits.answer;
	}

	if (orphanedRunCount > 0) {
		return holdWaits.strays;
	}

	const all = [...runs.values()];
	const longRunningWait = findLongRunningWait(owner, all, now);
	if (evacuation?.phase === evacuationPhases.waiting) {
		return longRunningWait === holdWaits.budget
			? longRunningWait
			: holdWaits.turn;
	}

	if (longRunningWait !== undefined) {
		return longRunningWait;
	}

	if (all.length === 0) {
		return holdWaits.reservation;
	}

	return all.every(({state}) => state === 'stopping' || state === 'barring')
		? holdWaits.stops
		: holdWaits.runs;
};

/** Lists the executors that are evacuated or reserved, the longest held first. */
export const listHolds = (
	owner: Owner,
	now: number,
): readonly ExecutorHold[] => {
	const holds: ExecutorHold[] = [];
	for (const executor of owner.executors.values()) {
		const {id, evacuation, reservedUntil, runs} = executor;
		const isReserved = reservedUntil !== undefined && reservedUntil > now;
		if (!evacuation && !isReserved) {
			continue;
		}

		holds.push({
			executor: id,
			claimant: evacuation?.claimant,
			heldMs: evacuation && Math.round(now - evacuation.since),
			phase: evacuation?.phase,
			waitsFor: isReserved ? holdWaits.command : findWait(owner, executor, now),
			runs: runs.size,
		});
	}

	return holds.toSorted((one, two) => (two.heldMs ?? 0) - (one.heldMs ?? 0));
};

/**
 * Evacuation of an executor before its machine is moved or maintained. It has to
 * wait for its turn; then long-running tasks leave, and once they all may, short
 * runs may finish and long ones that can checkpoint are stopped.
 */
import {
	evacuationPhases,
	evacuationUrgencies,
	type Evacuation,
	type EvacuationUrgency,
	type Executor,
	type RequestOrder,
} from '../state/executor.js';
import {expireReservations, releaseReservation} from '../state/reservations.js';
import {getSpeedFactor} from '../executor-speed/speed-state.js';
import type {Owner} from '../state/owner-state.js';
import {predictStepTime} from '../run-times/model.js';
import {estimateRunTimeLeft} from '../run-times/remaining.js';
import type {Run} from '../state/task.js';
import {updateEvacuationTurns} from './evacuation-turns.js';
import {mayStopToLeave} from './long-running-stops.js';

/** Whether something runs on an executor, as its owner knows it. */
export type Occupancy =
	| {readonly kind: 'empty'}
	/** Something runs there, or it does not answer. */
	| {readonly kind: 'waiting'; readonly runs: number}
	| {readonly kind: 'unknown-executor'};

/** Progress of the evacuation of an executor. */
export type EvacuationState =
	/**
	 * Nothing runs there, and nothing starts for so long after the answer,
	 * whoever owns the service.
	 */
	| {readonly kind: 'clear'; readonly remainingMs: number}
	| Exclude<Occupancy, {readonly kind: 'empty'}>
	/**
	 * It serves on, since the service can't do without it now. Owners of older
	 * releases never answer so.
	 */
	| {readonly kind: 'deferred'}
	/** The ownership of the service is not confirmed. */
	| {readonly kind: 'not-owner'};

const isEmpty = ({
	runs,
	orphanedRunCount,
	isAdopted,
	isFenced,
	unresponsiveSince,
}: Executor): boolean =>
	runs.size === 0 &&
	orphanedRunCount === 0 &&
	isAdopted &&
	// It may yet take a start for the incarnation before.
	isFenced &&
	unresponsiveSince === undefined;

/** Returns whether something runs on an executor. */
export const getOccupancy = (owner: Owner, executorId: string): Occupancy => {
	const executor = owner.executors.get(executorId);
	if (!executor) {
		return {kind: 'unknown-executor'};
	}

	return isEmpty(executor)
		? {kind: 'empty'}
		: {kind: 'waiting', runs: executor.runs.size};
};

const isEarlierRequest = (
	one: RequestOrder | undefined,
	two: RequestOrder | undefined,
): boolean =>
	one !== undefined &&
	two !== undefined &&
	(one.token < two.token || (one.token === two.token && one.at < two.at));

/** Records the order of a request to evacuate an executor. */
export const recordRequestOrder = (
	owner: Owner,
	executorId: string,
	order: RequestOrder | undefined,
): void => {
	const executor = owner.executors.get(executorId);
	if (executor && !isEarlierRequest(order, executor.evacuationOrder)) {
		executor.evacuationOrder = order;
	}
};

/** What the fleet's holder asks of an executor. */
export type EvacuationRequest = {
	/** How long runs may end by themselves, in milliseconds. */
	readonly patienceMs: number;
	/**
	 * Who asks for it, such as a wave, for the log; absent from holders of older
	 * releases.
	 */
	readonly claimant?: string | undefined;
	/** Absent from holders of older releases: `normal`. */
	readonly urgency?: EvacuationUrgency | undefined;
	/** Absent from holders of older releases. */
	readonly order?: RequestOrder | undefined;
};

/** Whether an evacuation waits for its turn; a promise that was made holds. */
export const isDeferred = (owner: Owner, executorId: string): boolean =>
	owner.executors.get(executorId)?.evacuation?.phase ===
	evacuationPhases.waiting;

/** Whether an evacuation is requested in whose turn nothing starts. */
export const isHeld = (owner: Owner, executorId: string): boolean =>
	owner.executors.get(executorId)?.evacuation?.phase === evacuationPhases.held;

/** What an owner knows at once of an executor that it is to evacuate. */
export type EvacuationRequestOutcome =
	Occupancy | Extract<EvacuationState, {readonly kind: 'deferred'}>;

/**
 * Requests the evacuation of an executor, or renews the request. An empty
 * executor is not clear before its reservation is stored.
 */
export const requestEvacuation = (
	owner: Owner,
	executorId: string,
	{patienceMs, claimant, urgency}: EvacuationRequest,
	now: number,
): EvacuationRequestOutcome => {
	const executor = owner.executors.get(executorId);
	if (!executor) {
		return {kind: 'unknown-executor'};
	}

	const {evacuation} = executor;
	const current = urgency ?? evacuationUrgencies.normal;
	executor.evacuation = {
		since: now,
		queuedSince: now,
		phase: evacuationPhases.waiting,
		turnSince: undefined,
		heldSince: undefined,
		progressAt: now,
		left: 0,
		restsUntil: now,
		...evacuation,
		claimant,
		urgency: current,
		validUntil: now + owner.cfg.evacuationTtlMs,
		patienceMs: Math.min(evacuation?.patienceMs ?? patienceMs, patienceMs),
	};
	// Each plan updates the turns; a renewal does not have to.
	if (evacuation?.urgency !== current) {
		updateEvacuationTurns(owner, now);
	}

	return isDeferred(owner, executorId)
		? {kind: 'deferred'}
		: getOccupancy(owner, executorId);
};

/**
 * Ends the evacuation and the reservation of an executor that will not be
 * commanded. Returns false if nothing ended, as for a request that arrives
 * after a later one to evacuate the executor.
 */
export const releaseEvacuation = (
	owner: Owner,
	executorId: string,
	order?: RequestOrder,
): boolean => {
	const executor = owner.executors.get(executorId);
	if (!executor || isEarlierRequest(order, executor.evacuationOrder)) {
		return false;
	}

	const hasEnded =
		executor.evacuation !== undefined || owner.reservations.has(executorId);
	executor.evacuation = undefined;
	releaseReservation(owner, executorId);
	return hasEnded;
};

/** Ends evacuations whose request was not renewed, and past reservations. */
export const expireEvacuations = (owner: Owner, now: number): void => {
	for (const executor of owner.executors.values()) {
		if (executor.evacuation && executor.evacuation.validUntil < now) {
			executor.evacuation = undefined;
		}
	}

	expireReservations(owner, now);
};

const getRemainingMs = (owner: Owner, run: Run, now: number): number => {
	const {step} = run.task;
	const predicted = predictStepTime(owner.runTimes, 'run', step);
	if (predicted) {
		return estimateRunTimeLeft(run, predicted, now).remaining.typicalMs;
	}

	// On a slow executor runs take longer, so those that can checkpoint move.
	const executor = owner.executors.get(run.executorId);
	const speed = executor ? getSpeedFactor(executor.speed) : 1;
	return (step.spec.estimateMs * (1 - run.percent / 100)) / speed;
};

const shouldStopBatch = (
	owner: Owner,
	run: Run,
	{heldSince, patienceMs}: Evacuation,
	now: number,
): boolean => {
	const {spec} = run.task.step;
	const isLong =
		getRemainingMs(owner, run, now) > owner.cfg.evacuationPatienceMs;
	const isPatienceOver =
		heldSince !== undefined && now - heldSince >= patienceMs;
	return isPatienceOver || (spec.canCheckpoint && isLong);
};

const mayStop = (
	owner: Owner,
	executor: Executor,
	run: Run,
	now: number,
): boolean => {
	const {evacuation} = executor;
	if (
		run.state !== 'running' ||
		!evacuation ||
		evacuation.phase === evacuationPhases.waiting
	) {
		return false;
	}

	return run.task.step.spec.isLongRunning
		? mayStopToLeave(owner, executor, run.task, now)
		: evacuation.phase === evacuationPhases.held &&
				shouldStopBatch(owner, run, evacuation, now);
};

/**
 * Yields the runs to stop now to evacuate an executor. The caller must mark
 * each run as stopping before it takes the next one, since every stop uses up
 * disruption budget.
 */
export function* listEvacuationStops(
	owner: Owner,
	executor: Executor,
	now: number,
): Generator<Run> {
	for (const run of executor.evacuation ? executor.runs.values() : []) {
		if (mayStop(owner, executor, run, now)) {
			yield run;
		}
	}
}

/**
 * Moves instances between pools: drain, wait until every registered entry has
 * acknowledged it, then compare-and-set to the new pool. Each step is decided
 * from the rows alone, so any daemon can finish a move that another began and
 * recover from a lost reply by reading the rows again.
 */
import type {Instance} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';
import {
	agreementTables,
	checkVersion,
	singleRowKey,
	type StoreCheck,
	type StorePrecondition,
} from '../types/store-write.js';
import {
	listPendingAcknowledgements,
	type ReceivedAcknowledgements,
	type PendingAcknowledgement,
} from '../membership/pending-acknowledgements.js';
import type {Registration} from '../membership/registration.js';
import {applyTransition, type Transition} from './transition.js';

/** A move in progress; one row per instance. */
export type Move = {
	readonly instance: string;
	readonly from: string;
	readonly to: string;
	/** Epoch of the instance after the last step of this move. */
	readonly epoch: number;
	/** Revision in which the instance became `draining`. */
	readonly drainRevision: number;
	readonly author: string;
};

/** A row and the version at which it was read. */
export type ReadRow<Value> = {readonly value: Value; readonly version: number};

/**
 * One step of a move, committed in one transaction with the next revision of
 * the view.
 */
export type MoveCommit = {
	readonly kind: 'commit';
	readonly transition: Transition;
	readonly instance: Instance;
	/** Version that the instance row must still have. */
	readonly instanceVersion: number;
	/** The move row after the step; `undefined` deletes it. */
	readonly move: Move | undefined;
	readonly movePrecondition: StorePrecondition;
	/** Further preconditions of the commit. */
	readonly conditions: readonly StoreCheck[];
};

/** Next step of a move. */
export type MoveStep =
	| MoveCommit
	| {
			readonly kind: 'wait';
			readonly pendingEntries: readonly PendingAcknowledgement[];
	  }
	/** The snapshot in the object store does not include the drain yet. */
	| {readonly kind: 'wait-for-snapshot'}
	/** An entry may have just started from an older snapshot. */
	| {readonly kind: 'wait-for-start-marker'; readonly leftMs: number}
	/** Another writer has changed the instance; only the move row is deleted. */
	| {readonly kind: 'superseded'};

/** Why a move cannot start. */
export type MoveRefusal =
	| {readonly kind: 'same-pool'}
	| {readonly kind: 'not-serving'; readonly state: Instance['state']}
	| {readonly kind: 'already-moving'};

/**
 * State of entries that start during a store outage from the snapshot in the
 * object store, without registering. Such an entry writes a new start marker
 * before each read of the snapshot, and reads the snapshot again within the
 * isolation time. The daemon reads the marker after it has written the
 * snapshot.
 */
export type OutageStart = {
	/** Revision of the snapshot in the object store. */
	readonly snapshotRevision: number;
	/**
	 * Time for which this daemon has seen the marker unchanged, in milliseconds.
	 */
	readonly markerUnchangedMs: number;
	/**
	 * Time for which the marker must be unchanged, in milliseconds;
	 * `forgetAfterMs` of the membership.
	 */
	readonly markerWaitMs: number;
};

/** For fleets whose entries never start from the snapshot. */
export const noOutageStart: OutageStart = {
	snapshotRevision: Number.POSITIVE_INFINITY,
	markerUnchangedMs: Number.POSITIVE_INFINITY,
	markerWaitMs: 0,
};

/** The registered entries as one daemon read them. */
export type MembershipRead = {
	/** Version of the membership row, read before the registrations. */
	readonly version: number;
	readonly registrations: readonly Registration[];
	readonly received: ReceivedAcknowledgements;
	readonly outageStart: OutageStart;
};

/** Shard lease that a daemon must hold to move instances. */
export type ShardCheck = {readonly shard: string; readonly version: number};

const checkShard = ({shard, version}: ShardCheck): StoreCheck =>
	checkVersion(agreementTables.shard, shard, version);

/** Input for the start of a move. */
export type MoveRequest = {
	readonly instance: ReadRow<Instance>;
	readonly to: string;
	readonly author: string;
	/** Revision that the transaction will produce. */
	readonly revision: number;
	readonly isMoving: boolean;
};

/** Starts a move: marks the instance as draining and creates the move row. */
export const startMove = (
	request: MoveRequest,
): Result<MoveCommit, MoveRefusal> => {
	const {instance, to, author, revision} = request;
	if (request.isMoving) {
		return fail({kind: 'already-moving'});
	}

	if (to === instance.value.pool) {
		return fail({kind: 'same-pool'});
	}

	const next = applyTransition(instance.value, 'startDrain');
	if (!next.ok) {
		return fail({kind: 'not-serving', state: instance.value.state});
	}

	return succeed({
		kind: 'commit',
		transition: 'startDrain',
		instance: next.value,
		instanceVersion: instance.version,
		move: {
			instance: instance.value.id,
			from: instance.value.pool,
			to,
			epoch: next.value.epoch,
			drainRevision: revision,
			author,
		},
		movePrecondition: {kind: 'absent'},
		conditions: [],
	});
};

const createStep = (
	move: ReadRow<Move>,
	instance: ReadRow<Instance>,
	transition: 'cancelDrain' | 'finishDrain' | 'commitMove',
	conditions: readonly StoreCheck[],
): MoveStep => {
	const pool = transition === 'commitMove' ? move.value.to : move.value.from;
	const next = applyTransition(instance.value, transition, pool);
	if (!next.ok) {
		return {kind: 'superseded'};
	}

	const {epoch} = next.value;
	return {
		kind: 'commit',
		transition,
		instance: next.value,
		instanceVersion: instance.version,
		move: transition === 'finishDrain' ? {...move.value, epoch} : undefined,
		movePrecondition: {kind: 'version', version: move.version},
		conditions,
	};
};

const isSuperseded = (move: Move, instance: Instance | undefined): boolean =>
	instance?.epoch !== move.epoch || instance.pool !== move.from;

/**
 * Decides the next step of a move. The drain completes only if every registered
 * entry routes by the revision of the drain or a newer one, none has a request
 * to the instance in flight, and no entry has joined or left between the read
 * and the commit.
 */
export const decideMove = (
	move: ReadRow<Move>,
	instance: ReadRow<Instance> | undefined,
	membership: MembershipRead,
	shard: ShardCheck,
): MoveStep => {
	if (!instance || isSuperseded(move.value, instance.value)) {
		return {kind: 'superseded'};
	}

	if (instance.value.state === 'away') {
		return createStep(move, instance, 'commitMove', [checkShard(shard)]);
	}

	const pendingEntries = listPendingAcknowledgements(
		membership.registrations,
		membership.received,
		{
			revision: move.value.drainRevision,
			instance: move.value.instance,
		},
	);
	if (pendingEntries.length > 0) {
		return {kind: 'wait', pendingEntries};
	}

	const {outageStart} = membership;
	if (outageStart.snapshotRevision < move.value.drainRevision) {
		return {kind: 'wait-for-snapshot'};
	}

	const leftMs = outageStart.markerWaitMs - outageStart.markerUnchangedMs;
	if (leftMs > 0) {
		return {kind: 'wait-for-start-marker', leftMs};
	}

	return createStep(move, instance, 'finishDrain', [
		checkShard(shard),
		checkVersion(agreementTables.membership, singleRowKey, membership.version),
	]);
};

/** Cancels a move: the instance serves its old pool again. */
export const cancelMove = (
	move: ReadRow<Move>,
	instance: ReadRow<Instance> | undefined,
): MoveStep =>
	!instance || isSuperseded(move.value, instance.value)
		? {kind: 'superseded'}
		: createStep(move, instance, 'cancelDrain', []);

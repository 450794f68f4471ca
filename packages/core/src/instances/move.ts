/**
 * Moves of instances between pools: drain, acknowledged by every registered
 * entry, then compare-and-set to the new pool. Each step is decided from the
 * rows alone, so any daemon finishes what another began, and a reply that was
 * lost is answered by reading the rows again.
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

/** A move that is under way; one row an instance. */
export type Move = {
	readonly instance: string;
	readonly from: string;
	readonly to: string;
	/** Epoch of the instance since the last step of this move. */
	readonly epoch: number;
	/** Revision that made the instance `draining`. */
	readonly drainRevision: number;
	readonly author: string;
};

/** A row and the version at which it was read. */
export type ReadRow<Value> = {readonly value: Value; readonly version: number};

/** One step, committed as a whole with the next revision of the view. */
export type MoveCommit = {
	readonly kind: 'commit';
	readonly transition: Transition;
	readonly instance: Instance;
	/** Version at which the instance row must still be. */
	readonly instanceVersion: number;
	/** The move row after the step; `undefined` deletes it. */
	readonly move: Move | undefined;
	readonly movePrecondition: StorePrecondition;
	/** What else must still hold. */
	readonly conditions: readonly StoreCheck[];
};

/** What to do next for a move. */
export type MoveStep =
	| MoveCommit
	| {
			readonly kind: 'wait';
			readonly pendingEntries: readonly PendingAcknowledgement[];
	  }
	/** The object store's snapshot does not show the drain yet. */
	| {readonly kind: 'wait-for-snapshot'}
	/** An entry may just have started from an older snapshot. */
	| {readonly kind: 'wait-for-start-marker'; readonly leftMs: number}
	/** The instance was changed by another; only the move row goes. */
	| {readonly kind: 'superseded'};

/** Why a move cannot start. */
export type MoveRefusal =
	| {readonly kind: 'same-pool'}
	| {readonly kind: 'not-serving'; readonly state: Instance['state']}
	| {readonly kind: 'already-moving'};

/**
 * What a mover knows of entries that start in an outage, from the object
 * store's snapshot, without being registered. Such an entry puts a new start
 * marker before each read of the snapshot and reads it again within the
 * isolation time. The mover reads the marker after the snapshot is put.
 */
export type OutageStart = {
	/** Revision of the snapshot in the object store. */
	readonly snapshotRevision: number;
	/** How long this mover has seen the marker unchanged. */
	readonly markerUnchangedMs: number;
	/** How long it must be; `forgetAfterMs` of the membership. */
	readonly markerWaitMs: number;
};

/** For fleets whose entries never start from the snapshot. */
export const noOutageStart: OutageStart = {
	snapshotRevision: Number.POSITIVE_INFINITY,
	markerUnchangedMs: Number.POSITIVE_INFINITY,
	markerWaitMs: 0,
};

/** The registered entries as one mover read them. */
export type MembershipRead = {
	/** Version of the membership row, read before the registrations. */
	readonly version: number;
	readonly registrations: readonly Registration[];
	readonly received: ReceivedAcknowledgements;
	readonly outageStart: OutageStart;
};

/** The lease under which a daemon moves instances. */
export type ShardCheck = {readonly shard: string; readonly version: number};

const checkShard = ({shard, version}: ShardCheck): StoreCheck =>
	checkVersion(agreementTables.shard, shard, version);

/** What starts a move. */
export type MoveRequest = {
	readonly instance: ReadRow<Instance>;
	readonly to: string;
	readonly author: string;
	/** Revision that this transaction will make. */
	readonly revision: number;
	readonly isMoving: boolean;
};

/** Starts a move: the instance drains, and the move is on record. */
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
 * Decides the next step of a move. The drain ends only if no registered
 * entry routes by an older revision or has a request in flight, and if no
 * entry has joined or left between the read and the commit.
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

	const lagging = listPendingAcknowledgements(
		membership.registrations,
		membership.received,
		{
			revision: move.value.drainRevision,
			instance: move.value.instance,
		},
	);
	if (lagging.length > 0) {
		return {kind: 'wait', pendingEntries: lagging};
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

/** Takes a move back: the instance serves its old pool again. */
export const cancelMove = (
	move: ReadRow<Move>,
	instance: ReadRow<Instance> | undefined,
): MoveStep =>
	!instance || isSuperseded(move.value, instance.value)
		? {kind: 'superseded'}
		: createStep(move, instance, 'cancelDrain', []);

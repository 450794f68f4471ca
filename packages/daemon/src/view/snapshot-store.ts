/**
 * The view's snapshot in the object store: read by entries that start while the
 * table service is unavailable, written by the holder of one control shard.
 */
import * as core from '@gullstand/core';
import type {followedView, Result} from '@gullstand/core';
import type {client, ObjectError, ObjectStore} from '@gullstand/ports';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from './ticker.js';
import {
	decodeSnapshot,
	encodeSnapshot,
	type SnapshotFault,
} from './view-image.js';

/**
 * Snapshots alternate between this many objects, so that a paused holder does
 * not overwrite a newer one.
 */
const snapshotObjectCount = 4;

/** Name of the object that the holder of a fencing token writes. */
export const getSnapshotName = (token: number): string =>
	`view/snapshot-${token % snapshotObjectCount}`;

/** Why no snapshot could be read. */
export type SnapshotFailure =
	| {readonly kind: ObjectError['kind'] | 'absent'}
	| {readonly kind: 'refused'; readonly fault: SnapshotFault};

const readOne = async (
	objects: ObjectStore,
	fleet: string,
	token: number,
): Promise<Result<followedView.FollowedView, SnapshotFailure>> => {
	const read = await objects.get(getSnapshotName(token));
	if (!read.ok) {
		return read;
	}

	if (!read.value) {
		return core.fail({kind: 'absent'});
	}

	const decoded = decodeSnapshot(read.value, fleet);
	return decoded.ok
		? decoded
		: core.fail({kind: 'refused', fault: decoded.error});
};

/**
 * Reads the newest snapshot. If one of the objects cannot be read, it may be
 * the newest, and the read fails.
 */
export const readSnapshot = async (
	objects: ObjectStore,
	fleet: string,
): Promise<Result<followedView.FollowedView, SnapshotFailure>> => {
	let newest: followedView.FollowedView | undefined;
	let refusal: SnapshotFailure = {kind: 'absent'};
	for (let token = 0; token < snapshotObjectCount; token += 1) {
		const read = await readOne(objects, fleet, token);
		if (read.ok) {
			const isNewer = read.value.view.revision > (newest?.view.revision ?? -1);
			newest = isNewer ? read.value : newest;
		} else if (read.error.kind === 'refused') {
			refusal = read.error;
		} else if (read.error.kind !== 'absent') {
			return read;
		}
	}

	return newest ? core.succeed(newest) : core.fail(refusal);
};

/** Dependencies of the snapshot writer. */
export type SnapshotWriterDeps = {
	readonly objects: ObjectStore;
	readonly fleet: string;
	readonly getFollowed: () => followedView.FollowedView;
	/** Fencing token of the shard that writes snapshots, if held here. */
	readonly getToken: () => number | undefined;
	readonly env: client.Environment;
	/** Minimum time between two writes, in milliseconds. */
	readonly minWriteMs: number;
	/** Time between two reads of the stored snapshot, in milliseconds. */
	readonly checkMs: number;
};

/** Writes snapshots and keeps the stored revision. */
export type SnapshotWriter = Part & {
	readonly getStoredRevision: () => number;
	/** Writes immediately if the stored snapshot is older than the view. */
	readonly write: () => Promise<void>;
};

type WriterState = {storedRevision: number; checkedAt: number};

/** Rereads the stored snapshot at intervals, so that a lost one is rewritten. */
const checkStored = async (
	{objects, fleet, env, checkMs}: SnapshotWriterDeps,
	state: WriterState,
): Promise<void> => {
	if (env.now() - state.checkedAt < checkMs) {
		return;
	}

	const read = await readSnapshot(objects, fleet);
	if (read.ok) {
		state.storedRevision = read.value.view.revision;
		state.checkedAt = env.now();
	} else if (read.error.kind === 'absent' || read.error.kind === 'refused') {
		state.storedRevision = 0;
		state.checkedAt = env.now();
	}
};

export const createSnapshotWriter = (
	deps: SnapshotWriterDeps,
): SnapshotWriter => {
	const state = {storedRevision: 0, checkedAt: Number.NEGATIVE_INFINITY};
	const write = async () => {
		const token = deps.getToken();
		if (token === undefined) {
			return;
		}

		await checkStored(deps, state);
		const followed = deps.getFollowed();
		const {revision} = followed.view;
		if (revision <= state.storedRevision) {
			return;
		}

		const body = encodeSnapshot(followed, deps.fleet);
		const put = await deps.objects.put(getSnapshotName(token), body);
		state.storedRevision = put.ok ? revision : state.storedRevision;
	};

	const ticker = createTicker(write, deps.minWriteMs, deps.env.random);
	return {
		name: 'snapshot-writer',
		start: ticker.start,
		stop: ticker.stop,
		write,
		getStoredRevision: () => state.storedRevision,
	};
};

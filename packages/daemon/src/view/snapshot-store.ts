/**
 * The view's snapshot in the object store: read by entries that start while
 * the table service is down, written by the holder of one control shard.
 */
import * as core from '@gullstand/core';
import type {followedView, Result} from '@gullstand/core';
import type {client, ObjectError, ObjectStore} from '@gullstand/platform';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from './ticker.js';
import {
	decodeSnapshot,
	encodeSnapshot,
	type SnapshotFault,
} from './view-image.js';

/** Name of the object. */
export const snapshotName = 'view/snapshot';

/** Why there is no snapshot to start from. */
export type SnapshotFailure =
	| {readonly kind: ObjectError['kind'] | 'absent'}
	| {readonly kind: 'refused'; readonly fault: SnapshotFault};

/** Reads the snapshot. */
export const readSnapshot = async (
	objects: ObjectStore,
	fleet: string,
): Promise<Result<followedView.FollowedView, SnapshotFailure>> => {
	const read = await objects.get(snapshotName);
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

/** What the writer needs. */
export type SnapshotWriterDeps = {
	readonly objects: ObjectStore;
	readonly fleet: string;
	readonly getFollowed: () => followedView.FollowedView;
	/** Whether this daemon holds the shard that writes. */
	readonly isHolder: () => boolean;
	readonly env: client.Environment;
	/** Shortest time between two writes, in milliseconds. */
	readonly minWriteMs: number;
	/** Time between two reads of what is stored, in milliseconds. */
	readonly checkMs: number;
};

/** A writer and the revision that it knows to be stored. */
export type SnapshotWriter = Part & {
	readonly getStoredRevision: () => number;
	/** Writes if needed, without waiting for its turn. */
	readonly write: () => Promise<void>;
};

type WriterState = {storedRevision: number; checkedAt: number};

/**
 * A paused holder may put an older snapshot over a newer one. The present
 * holder therefore reads what is stored from time to time and puts its own
 * again if that is older.
 */
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

/** Creates the writer. */
export const createSnapshotWriter = (
	deps: SnapshotWriterDeps,
): SnapshotWriter => {
	const state = {storedRevision: 0, checkedAt: Number.NEGATIVE_INFINITY};
	const write = async () => {
		if (!deps.isHolder()) {
			return;
		}

		await checkStored(deps, state);
		const followed = deps.getFollowed();
		const {revision} = followed.view;
		if (revision <= state.storedRevision) {
			return;
		}

		const body = encodeSnapshot(followed, deps.fleet);
		const put = await deps.objects.put(snapshotName, body);
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

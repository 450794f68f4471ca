/**
 * The start marker in the object store. An entry that starts from the snapshot
 * writes a new marker before each read of the snapshot; moves wait until the
 * marker has been unchanged for long enough.
 * Source: docs/design/agreement.md, "Starting in an outage".
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {move} from '@gullstand/core';
import type {ObjectStore} from '@gullstand/ports';
import {readSnapshot} from '../view/snapshot-store.js';

/** Name of the marker object. */
export const startMarkerName = 'view/start-marker';

/** Dependencies of the marker. */
export type StartMarkerDeps = {
	readonly objects: ObjectStore;
	readonly fleet: string;
	readonly getRevision: () => number;
	/** `forgetAfterMs` of the membership. */
	readonly waitMs: number;
	readonly now: () => number;
};

/** Writes and reads the marker. */
export type StartMarker = {
	/** Writes the marker; true if the snapshot is no newer than the view. */
	readonly confirm: () => Promise<boolean>;
	/** Reads the snapshot's revision, then the marker. */
	readonly read: () => Promise<move.OutageStart>;
};

export const createStartMarker = (deps: StartMarkerDeps): StartMarker => {
	const {objects, fleet, now} = deps;
	let lastMarker: {text: string; since: number} | undefined;

	const getUnchangedMs = (bytes: Uint8Array | undefined): number => {
		if (!bytes) {
			return Number.POSITIVE_INFINITY;
		}

		const text = Buffer.from(bytes).toString();
		lastMarker = lastMarker?.text === text ? lastMarker : {text, since: now()};
		return now() - lastMarker.since;
	};

	return {
		async confirm() {
			const marker = Buffer.from(randomUUID());
			const put = await objects.put(startMarkerName, marker);
			if (!put.ok) {
				return false;
			}

			const snapshot = await readSnapshot(objects, fleet);
			return snapshot.ok && snapshot.value.view.revision <= deps.getRevision();
		},
		async read() {
			const snapshot = await readSnapshot(objects, fleet);
			const marker = await objects.get(startMarkerName);
			return {
				snapshotRevision: snapshot.ok ? snapshot.value.view.revision : 0,
				markerUnchangedMs: marker.ok ? getUnchangedMs(marker.value) : 0,
				markerWaitMs: deps.waitMs,
			};
		},
	};
};

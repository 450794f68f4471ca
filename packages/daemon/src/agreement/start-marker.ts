/**
 * The start marker in the object store: an entry that stands on the snapshot
 * puts a new one before each read of it, and movers wait until it has stayed
 * the same. Source: docs/design/agreement.md, "Starting in an outage".
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {move} from '@gullstand/core';
import type {ObjectStore} from '@gullstand/ports';
import {readSnapshot} from '../view/snapshot-store.js';

/** Name of the object. */
export const startMarkerName = 'view/start-marker';

/** What both sides of the marker need. */
export type StartMarkerDeps = {
	readonly objects: ObjectStore;
	readonly fleet: string;
	readonly getRevision: () => number;
	/** `forgetAfterMs` of the membership. */
	readonly waitMs: number;
	readonly now: () => number;
};

/** Both sides of the marker. */
export type StartMarker = {
	/** Puts the marker; true if the snapshot shows nothing newer. */
	readonly confirm: () => Promise<boolean>;
	/** What a mover knows, read after the snapshot. */
	readonly read: () => Promise<move.OutageStart>;
};

/** Creates both sides. */
export const createStartMarker = (deps: StartMarkerDeps): StartMarker => {
	const {objects, fleet, now} = deps;
	let seen: {text: string; since: number} | undefined;

	const getUnchangedMs = (bytes: Uint8Array | undefined): number => {
		if (!bytes) {
			return Number.POSITIVE_INFINITY;
		}

		const text = Buffer.from(bytes).toString();
		seen = seen?.text === text ? seen : {text, since: now()};
		return now() - seen.since;
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

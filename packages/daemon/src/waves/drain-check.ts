/**
 * Whether every entry has let go of an instance: it routes by the revision
 * that made it drain, and has no request in flight on it. No clock decides.
 * Source: docs/design/agreement.md.
 */
import * as core from '@gullstand/core';
import type {pendingAcknowledgements, move, View} from '@gullstand/core';
import type {TableService, Write} from '@gullstand/ports';
import {readRegistrations} from '../operator/objects/in-force.js';

/** What the check looks at. */
export type DrainCheckDeps = {
	readonly table: TableService;
	readonly getView: () => View;
	/** Requests in flight from this entry to an instance. */
	readonly getInFlight: (instance: string) => number;
	readonly getHeard: () => pendingAcknowledgements.ReceivedAcknowledgements;
	/** What is known of entries that start from the object store's snapshot. */
	readonly readOutageStart?: () => Promise<move.OutageStart>;
};

/** The registered entries as read, and what must still hold at a commit. */
export type DrainCheck = {
	readonly isDrained: (instance: string, drainRevision: number) => boolean;
	readonly listPendingAcknowledgements: (
		instance: string,
		drainRevision: number,
	) => readonly pendingAcknowledgements.PendingAcknowledgement[];
	readonly guards: readonly Write[];
};

const {membership} = core.agreementTables;

/** Reads the entries; undefined if the store does not answer. */
export const readDrainCheck = async (
	deps: DrainCheckDeps,
): Promise<DrainCheck | undefined> => {
	// Read before the entries: one that registers later is among them.
	const outageStart =
		(await deps.readOutageStart?.()) ?? core.move.noOutageStart;
	const row = await deps.table.get(membership, core.singleRowKey);
	if (!row.ok) {
		return undefined;
	}

	const entries = await readRegistrations(deps.table);
	if (!entries.ok) {
		return undefined;
	}

	const registrations = entries.value.map((each) => each.registration);
	const getLagging = (instance: string, revision: number) =>
		core.pendingAcknowledgements.listPendingAcknowledgements(
			registrations,
			deps.getHeard(),
			{
				revision,
				instance,
			},
		);
	const isStartSafe = (revision: number) =>
		outageStart.snapshotRevision >= revision &&
		outageStart.markerUnchangedMs >= outageStart.markerWaitMs;
	return {
		listPendingAcknowledgements: getLagging,
		isDrained: (instance, revision) =>
			isStartSafe(revision) &&
			deps.getView().revision >= revision &&
			deps.getInFlight(instance) === 0 &&
			getLagging(instance, revision).length === 0,
		guards: [
			row.value
				? core.checkVersion(membership, core.singleRowKey, row.value.version)
				: {
						kind: 'check',
						table: membership,
						key: core.singleRowKey,
						when: {kind: 'absent'},
					},
		],
	};
};

/**
 * Checks whether an instance is drained: every entry routes by the revision
 * that made it drain, and has no request in flight on it. No timeout is
 * involved.
 * Source: docs/design/agreement.md.
 */
import * as core from '@gullstand/core';
import type {pendingAcknowledgements, move, View} from '@gullstand/core';
import type {TableService, Write} from '@gullstand/ports';
import {readRegistrations} from '../operator/objects/in-force.js';

/** Dependencies of the check. */
export type DrainCheckDeps = {
	readonly table: TableService;
	readonly getView: () => View;
	/** Counts requests in flight from this entry to an instance. */
	readonly getInFlight: (instance: string) => number;
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	/** Reads what is known of entries that start from the snapshot. */
	readonly readOutageStart?: () => Promise<move.OutageStart>;
};

/** Drain status by the entries as read, and the conditions of a commit. */
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
	// Read before the entries, so that one that registers meanwhile is listed.
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
	const listPending = (instance: string, revision: number) =>
		core.pendingAcknowledgements.listPendingAcknowledgements(
			registrations,
			deps.getReceivedAcknowledgements(),
			{
				revision,
				instance,
			},
		);
	const isOutageStartSafe = (revision: number) =>
		outageStart.snapshotRevision >= revision &&
		outageStart.markerUnchangedMs >= outageStart.markerWaitMs;
	return {
		listPendingAcknowledgements: listPending,
		isDrained: (instance, revision) =>
			isOutageStartSafe(revision) &&
			deps.getView().revision >= revision &&
			deps.getInFlight(instance) === 0 &&
			listPending(instance, revision).length === 0,
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

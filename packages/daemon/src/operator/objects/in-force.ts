/** Checks whether all registered entries have acknowledged a revision. */
import * as core from '@gullstand/core';
import type {
	pendingAcknowledgements,
	registration,
	Result,
} from '@gullstand/core';
import type {client, StoreError, TableService} from '@gullstand/ports';
import {readTable} from '../../view/tables.js';

/** Dependencies of the check. */
export type InForceDeps = {
	readonly table: TableService;
	readonly getView: () => core.View;
	/** Acknowledgements received from peers. */
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	readonly env: client.Environment;
};

/** Result of the check; `lagging` lists entries yet to acknowledge. */
export type InForce = {
	readonly isInForce: boolean;
	readonly lagging: readonly pendingAcknowledgements.PendingAcknowledgement[];
	/** True if the registrations could not be read. */
	readonly isUnknown?: boolean;
};

/** An entry's registration and the version of its row. */
export type RegistrationRow = {
	readonly version: number;
	readonly registration: registration.Registration;
};

/** Reads the rows of all registered entries. */
export const readRegistrations = async (
	table: TableService,
): Promise<Result<readonly RegistrationRow[], StoreError>> => {
	const rows = await readTable(table, core.agreementTables.entry);
	return rows.ok
		? core.succeed(
				rows.value.map(({version, value}) => ({
					version,
					registration: value as unknown as registration.Registration,
				})),
			)
		: rows;
};

/** Checks once whether a revision is in force. */
export const checkInForce = async (
	{table, getView, getReceivedAcknowledgements}: InForceDeps,
	revision: number,
): Promise<InForce> => {
	const rows = await readRegistrations(table);
	if (!rows.ok) {
		return {isInForce: false, lagging: [], isUnknown: true};
	}

	const lagging = core.pendingAcknowledgements.listPendingAcknowledgements(
		rows.value.map((row) => row.registration),
		getReceivedAcknowledgements(),
		{revision},
	);
	const isHere = getView().revision >= revision;
	return {isInForce: isHere && lagging.length === 0, lagging};
};

const pollMs = 100;

/** Polls until the revision is in force, at most `maxMs` milliseconds. */
export const waitInForce = async (
	deps: InForceDeps,
	revision: number,
	maxMs: number,
): Promise<InForce> => {
	const deadline = deps.env.now() + maxMs;
	for (;;) {
		const state = await checkInForce(deps, revision);
		if (state.isInForce || deps.env.now() + pollMs >= deadline) {
			return state;
		}

		await deps.env.wait(pollMs);
	}
};

/** Handlers of registered entries: list them and remove a terminated one. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import {type client, client as storeClient, type Write} from '@gullstand/ports';
import {answerError, answerStoreError} from '../objects/answers.js';
import {readRegistrations, type RegistrationRow} from '../objects/in-force.js';
import {formatEtag, readPrecondition} from '../objects/preconditions.js';
import type {OperatorApp, OperatorDeps} from '../types.js';

const describeEntry = (
	{version, registration}: RegistrationRow,
	deps: OperatorDeps,
) => {
	const received = deps.getReceivedAcknowledgements();
	const newest = core.pendingAcknowledgements.getNewestAcknowledgement(
		registration,
		received,
	);
	const {revision} = deps.getView();
	const [pending] = core.pendingAcknowledgements.listPendingAcknowledgements(
		[registration],
		received,
		{revision},
	);
	return {
		entry: newest.entry,
		address: registration.address,
		availabilityZone: registration.availabilityZone,
		incarnation: newest.incarnation,
		inForce: newest.inForce,
		holding: newest.holding,
		upMs: registration.upMs,
		lags: pending?.reason ?? null,
		etag: formatEtag(version),
	};
};

const removalTimeoutMs = 10_000;

/** Deletes the entry's row if it has the version that the operator sent. */
const removeEntry = async (
	deps: OperatorDeps,
	entry: string,
	version: number,
	author: string,
): Promise<client.CommitOutcome> => {
	const id = randomUUID();
	const removal = core.registration.removeEntry(entry, version, author);
	// A deleted row cannot be read back; the witness shows whether it committed.
	const witness = {table: 'removal', key: id};
	const removalWrite: Write = {
		kind: 'put',
		...witness,
		value: {entry, version, author},
		when: {kind: 'absent'},
	};
	return storeClient.commitWithReadBack(
		deps.table,
		{id, writes: [...removal, removalWrite] as Write[], witness},
		{env: deps.env, deadline: deps.env.now() + removalTimeoutMs},
	);
};

/** Registers the handlers of this domain. */
export const registerEntries = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/entries', async (c) => {
		const rows = await readRegistrations(deps.table);
		return rows.ok
			? c.json({
					entries: rows.value.map((row) => describeEntry(row, deps)),
					revision: deps.getView().revision,
				})
			: answerStoreError(rows.error);
	});
	app.delete('/v1/entries/:entry', async (c) => {
		const when = readPrecondition(c.req.header('if-match'), undefined);
		if (!when.ok || when.value.kind !== 'version') {
			return answerError(when.ok ? 'bad-request' : when.error);
		}

		const entry = c.req.param('entry');
		const author = c.get('operator').name;
		const outcome = await removeEntry(deps, entry, when.value.version, author);
		switch (outcome.kind) {
			case 'committed': {
				return c.json({forgotten: entry});
			}

			case 'conflict': {
				return answerStoreError(outcome);
			}

			case 'not-committed': {
				return answerStoreError({kind: outcome.reason});
			}

			case 'unknown': {
				return answerStoreError({kind: 'timeout'});
			}
		}
	});
};

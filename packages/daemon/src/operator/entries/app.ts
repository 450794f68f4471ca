/** Entries: who is registered, who lags, and forgetting one that is over. */
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
	const heard = deps.getHeard();
	const newest = core.pendingAcknowledgements.getNewestAcknowledgement(
		registration,
		heard,
	);
	const {revision} = deps.getView();
	const [lag] = core.pendingAcknowledgements.listPendingAcknowledgements(
		[registration],
		heard,
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
		lags: lag?.reason ?? null,
		etag: formatEtag(version),
	};
};

const forgetMs = 10_000;

/** Deletes the row at the version that the operator saw. */
const forget = async (
	deps: OperatorDeps,
	entry: string,
	version: number,
	author: string,
): Promise<client.CommitOutcome> => {
	const id = randomUUID();
	const removal = core.registration.removeEntry(entry, version, author);
	// Deleted rows tell nothing; this row tells what became of the removal.
	const witness = {table: 'removal', key: id};
	const note: Write = {
		kind: 'put',
		...witness,
		value: {entry, version, author},
		when: {kind: 'absent'},
	};
	return storeClient.commitWithReadBack(
		deps.table,
		{id, writes: [...removal, note] as Write[], witness},
		{env: deps.env, deadline: deps.env.now() + forgetMs},
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
		const outcome = await forget(deps, entry, when.value.version, author);
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

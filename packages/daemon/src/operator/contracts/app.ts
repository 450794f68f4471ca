/** Contracts: list, show and change by compare-and-set. */
import {randomUUID} from 'node:crypto';
import type {Context} from 'hono';
import {type errors, type Result, fail, succeed} from '@gullstand/core';
import type {Precondition, StoreError} from '@gullstand/platform';
import {createErrorResponse} from '../../caller/answer.js';
import {commitChange} from '../../view/commit-change.js';
import type {OperatorApp, OperatorDeps, OperatorEnv} from '../operator-app.js';
import {contractSchema} from './contract-schema.js';

const etagPattern = /^"(\d{1,15})"$/v;

/** Reads `If-Match` or `If-None-Match: *` (RFC 9110, section 13.1). */
export const readPrecondition = (
	ifMatch: string | undefined,
	ifNoneMatch: string | undefined,
): Result<Precondition, errors.ErrorKind> => {
	if (ifNoneMatch === '*') {
		return succeed({kind: 'absent'});
	}

	if (ifMatch === undefined) {
		return fail('version-required');
	}

	const etag = etagPattern.exec(ifMatch)?.[1];
	return etag === undefined
		? fail('bad-request')
		: succeed({kind: 'version', version: Number(etag)});
};

const errorKinds: Readonly<Record<StoreError['kind'], errors.ErrorKind>> = {
	conflict: 'version-conflict',
	unavailable: 'store-unavailable',
	timeout: 'store-unknown',
	'too-large': 'body-too-large',
};

const answerError = (kind: errors.ErrorKind) =>
	createErrorResponse(kind, randomUUID());

const readJson = async (c: Context<OperatorEnv>): Promise<unknown> => {
	try {
		return await c.req.json();
	} catch {
		return undefined;
	}
};

const putContract = async (c: Context<OperatorEnv>, deps: OperatorDeps) => {
	const when = readPrecondition(
		c.req.header('if-match'),
		c.req.header('if-none-match'),
	);
	if (!when.ok) {
		return answerError(when.error);
	}

	const parsed = contractSchema.safeParse(await readJson(c));
	const customer = c.req.param('customer');
	if (!parsed.success || parsed.data.customer !== customer) {
		return answerError('bad-request');
	}

	const committed = await commitChange(
		deps.table,
		[
			{
				table: 'contract',
				key: customer,
				value: parsed.data,
				when: when.value,
			},
		],
		randomUUID(),
	);
	if (committed.ok) {
		await deps.poll();
		const {versions, revision} = committed.value;
		c.header('etag', `"${versions[0] ?? 0}"`);
		return c.json({revision, contract: parsed.data});
	}

	const {error} = committed;
	return error.kind === 'conflict'
		? c.json({error: 'version-conflict', current: error.current ?? null}, 409)
		: answerError(errorKinds[error.kind]);
};

const showContract = async (c: Context<OperatorEnv>, deps: OperatorDeps) => {
	const row = await deps.table.get('contract', c.req.param('customer') ?? '');
	if (!row.ok) {
		return answerError(errorKinds[row.error.kind]);
	}

	if (!row.value) {
		return answerError('not-found');
	}

	c.header('etag', `"${row.value.version}"`);
	return c.json({contract: row.value.value});
};

/** Registers the handlers of this domain. */
export const registerContracts = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/contracts', (c) =>
		c.json({contracts: [...deps.getView().contracts.values()]}),
	);
	app.get('/v1/contracts/:customer', async (c) => showContract(c, deps));
	app.put('/v1/contracts/:customer', async (c) => putContract(c, deps));
};

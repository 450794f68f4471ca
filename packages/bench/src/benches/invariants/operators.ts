/** Operators that change contracts and start waves and moves. */
import {setTimeout as wait} from 'node:timers/promises';
import {embeddedOperatorToken} from '@gullstand/daemon';
import {request} from 'undici';
import {drawBelow} from '../../frame/random.js';
import type {Load} from './callers.js';
import {now} from './recorder.js';
import {createProbeContract, type TestEnvironment} from './test-environment.js';

type OperatorCall = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly etag?: string;
};

type OperatorAnswer = {
	readonly status: number;
	readonly etag: string | undefined;
};

const probeContract = '/v1/contracts/probe';

const changePauseMs = 300;

const retryMs = 250;

const movePauseMs = 400;

/** Calls a random entry; undefined without an answer. */
const callEntry = async (
	{slots, random}: TestEnvironment,
	{method, path, body, etag}: OperatorCall,
): Promise<OperatorAnswer | undefined> => {
	const reachable = slots.filter((each) => each !== undefined);
	const entry = reachable[drawBelow(random, reachable.length)];
	if (!entry) {
		return undefined;
	}

	const port = entry.daemon.getOperatorPort();
	try {
		const res = await request(`http://127.0.0.1:${port}${path}`, {
			method,
			dispatcher: entry.agent,
			headers: {
				authorization: `Bearer ${embeddedOperatorToken}`,
				...(etag !== undefined && {'if-match': etag}),
			},
			body: body === undefined ? null : JSON.stringify(body),
		});
		await res.body.dump();
		const tag = res.headers.etag;
		return {
			status: res.statusCode,
			etag: typeof tag === 'string' ? tag : undefined,
		};
	} catch {
		return undefined;
	}
};

const isAccepted = (answer: OperatorAnswer | undefined): boolean =>
	answer?.status === 200 || answer?.status === 202;

/**
 * Changes the probe customer's contract once. The number of the change is
 * assigned after the old version was read, so that numbers follow commit order.
 */
const changeContract = async (environment: TestEnvironment) => {
	const read = await callEntry(environment, {
		method: 'GET',
		path: probeContract,
	});
	if (read?.etag === undefined) {
		return;
	}

	environment.changes.highest += 1;
	const change = environment.changes.highest;
	const written = await callEntry(environment, {
		method: 'PUT',
		path: probeContract,
		body: createProbeContract(change),
		etag: read.etag,
	});
	if (isAccepted(written)) {
		environment.recorder.acceptances.push({at: now(), change});
	}
};

/** Changes the contract repeatedly, concurrently with other operators. */
export const runContractChanges = async (
	environment: TestEnvironment,
	load: Load,
): Promise<void> => {
	while (!load.isStopped) {
		await changeContract(environment);
		await wait(changePauseMs * (0.5 + environment.random()));
	}
};

/** True for a conflict too: a lost reply may have hidden the success. */
const isDone = (answer: OperatorAnswer | undefined): boolean =>
	isAccepted(answer) || answer?.status === 409;

/** Plans and starts a wave, with retries. */
export const startWave = async (
	environment: TestEnvironment,
	load: Load,
	pool: string,
): Promise<void> => {
	const path = `/v1/waves/wave-${pool}`;
	const body = {pools: [pool], hours: 24, deferWithinHours: 0};
	for (const call of [
		{method: 'PUT', path, body},
		{method: 'POST', path: `${path}/start`},
	] as const) {
		while (!load.isStopped && !isDone(await callEntry(environment, call))) {
			await wait(retryMs);
		}
	}
};

/** Moves executors between the pools, concurrently with waves. */
export const runMoves = async (
	environment: TestEnvironment,
	load: Load,
): Promise<void> => {
	const ids = environment.executors.map(({id}) => id);
	while (!load.isStopped) {
		const id = ids[drawBelow(environment.random, ids.length)]!;
		const to = environment.random() < 0.5 ? 'quote' : 'claims';
		const path = `/v1/instances/${id}/move`;
		await callEntry(environment, {method: 'POST', path, body: {to}});
		await wait(movePauseMs);
	}
};

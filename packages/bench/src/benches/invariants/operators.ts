/** Operators at the entries' operator ports: contracts, waves and moves. */
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

/** Asks any entry; undefined if it cannot be reached. */
const ask = async (
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
 * One change of the probe customer's contract. Its number is drawn after the
 * version that it replaces was read, so that numbers grow as commits do.
 */
const changeContract = async (world: TestEnvironment) => {
	const read = await ask(world, {method: 'GET', path: probeContract});
	if (read?.etag === undefined) {
		return;
	}

	world.changes.highest += 1;
	const change = world.changes.highest;
	const written = await ask(world, {
		method: 'PUT',
		path: probeContract,
		body: createProbeContract(change),
		etag: read.etag,
	});
	if (isAccepted(written)) {
		world.recorder.acceptances.push({at: now(), change});
	}
};

/** Changes the contract again and again; several of these race. */
export const runContractChanges = async (
	world: TestEnvironment,
	load: Load,
): Promise<void> => {
	while (!load.isStopped) {
		await changeContract(world);
		await wait(changePauseMs * (0.5 + world.random()));
	}
};

/** A repeat after a lost reply finds its own step done, a conflict. */
const isDone = (answer: OperatorAnswer | undefined): boolean =>
	isAccepted(answer) || answer?.status === 409;

/** Plans and starts a wave, again until both are done. */
export const startWave = async (
	world: TestEnvironment,
	load: Load,
	pool: string,
): Promise<void> => {
	const path = `/v1/waves/wave-${pool}`;
	const body = {pools: [pool], hours: 24, deferWithinHours: 0};
	for (const call of [
		{method: 'PUT', path, body},
		{method: 'POST', path: `${path}/start`},
	] as const) {
		while (!load.isStopped && !isDone(await ask(world, call))) {
			await wait(retryMs);
		}
	}
};

/** Moves executors of a pool there and back; races with waves. */
export const runMoves = async (
	world: TestEnvironment,
	load: Load,
): Promise<void> => {
	const ids = world.executors.map(({id}) => id);
	while (!load.isStopped) {
		const id = ids[drawBelow(world.random, ids.length)]!;
		const to = world.random() < 0.5 ? 'quote' : 'claims';
		const path = `/v1/instances/${id}/move`;
		await ask(world, {method: 'POST', path, body: {to}});
		await wait(movePauseMs);
	}
};

import {once} from 'node:events';
import {createServer, get, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {getRequestListener} from '@hono/node-server';
import * as core from '@gullstand/core';
import {answers, executor} from '@gullstand/stand-in';
import * as tap from 'tap';
import {createResponse} from '../caller/answer.js';
import type {Call} from '../caller/call.js';
import {createCancellation} from '../caller/cancellation.js';
import {createUpstreamDispatch} from './upstream-dispatch.js';
import {defaultUpstreamConfig} from './types.js';

type Cleanup = {readonly teardown: (fn: () => Promise<unknown>) => void};

const service: core.Service = {
	name: 'quoting',
	pool: 'quoting',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503], header: answers.refusalHeader},
};

const terms = {
	service: 'quoting',
	keepExecutors: 1,
	maxAway: 1,
	answerWithinMs: 20_000,
	requestsPerSecond: 100,
};

const createCall = (id: string, bytes: number): Call => ({
	requestId: id,
	contract: {
		customer: 'c',
		weight: 1,
		tokenHashes: [],
		services: [terms],
		jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
	},
	terms,
	service,
	requestClass: 'standard',
	method: 'GET',
	path: '/',
	headers: {
		[answers.requestIdHeader]: id,
		[answers.answerBytesHeader]: String(bytes),
	},
	body: new Uint8Array(),
	receivedAt: Date.now(),
	deadline: Date.now() + 20_000,
	idempotent: true,
	cancellation: createCancellation(),
});

const createView = (
	revision: number,
	targets: readonly executor.StandInExecutor[],
	change: Partial<core.Service> = {},
): core.View => ({
	...core.emptyView,
	revision,
	services: new Map([['quoting', {...service, ...change}]]),
	instances: new Map(
		targets.map(({id, address, availabilityZone}) => [
			id,
			{
				id,
				address,
				availabilityZone,
				region: 'r',
				rack: 'k',
				pool: 'quoting',
				epoch: 1,
				kind: 'executor',
				state: 'serving',
			},
		]),
	),
});

const start = async (t: Cleanup, count: number, serviceMs = 2) => {
	const started = Array.from({length: count}, async (_, index) =>
		executor.startExecutor({
			id: `e${index}`,
			availabilityZone: 'a',
			slots: 8,
			drawServiceMs: () => serviceMs,
			random: () => 0,
		}),
	);
	const executors = await Promise.all(started);
	let view = createView(1, executors);
	const dispatch = createUpstreamDispatch({
		getView: () => view,
		now: Date.now,
		random: () => 0,
		cfg: defaultUpstreamConfig,
		entries: 9,
	});
	t.teardown(async () => {
		await dispatch.close();
		await Promise.all(executors.map(async (each) => each.close()));
	});
	const setView = (next: core.View) => {
		view = next;
	};

	return {executors, dispatch, setView};
};

tap.t.test('a truncated large answer is reset for the caller', async (t) => {
	const {executors, dispatch} = await start(t, 1);
	const server = createServer((req, res) => {
		const listener = getRequestListener(async () => {
			const result = await dispatch.handle(createCall('x', 2_000_000));
			return createResponse(result, 'x');
		});
		void listener(req, res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(async () => server.close());
	const {port} = server.address() as AddressInfo;
	const ask = async () => {
		const req = get({port, host: '127.0.0.1', agent: false});
		const [res] = (await once(req, 'response')) as [IncomingMessage];
		return buffer(res);
	};

	const whole = await ask();
	t.equal(whole.byteLength, 2_000_000);
	for (const framing of ['length', 'chunked'] as const) {
		await executors[0]?.setFault({kind: 'half', share: 1, framing});
		await t.rejects(ask(), `cut, by ${framing}`);
	}
});

tap.t.test('requests on a removed executor stay counted', async (t) => {
	const {executors, dispatch, setView} = await start(t, 1, 300);
	const first = dispatch.handle(createCall('a', 10));
	while (executors[0]?.runs.length === 0) {
		await sleep(5);
	}

	setView(createView(2, []));
	t.match(await dispatch.handle(createCall('b', 10)), {error: 'no-executor'});
	t.equal(dispatch.getInFlight('e0'), 1);
	t.match(await first, {kind: 'answer', executor: 'e0'});
	t.equal(dispatch.getInFlight('e0'), 0);
});

tap.t.test('a changed service gets a new upstream', async (t) => {
	const {executors, dispatch, setView} = await start(t, 1, 300);
	const first = dispatch.handle(createCall('a', 10));
	while (executors[0]?.runs.length === 0) {
		await sleep(5);
	}

	setView(createView(2, executors, {slotsPerExecutor: 4}));
	const second = dispatch.handle(createCall('b', 10));
	t.equal(dispatch.getInFlight('e0'), 2, 'old and new upstream together');
	t.match(await Promise.all([first, second]), [
		{kind: 'answer'},
		{kind: 'answer'},
	]);
});

tap.t.test(
	'a call of an isolated entry is refused as such, not as overloaded',
	async (t) => {
		const view = createView(1, []);
		const dispatch = createUpstreamDispatch({
			getView: () => view,
			now: Date.now,
			random: () => 0,
			cfg: defaultUpstreamConfig,
			entries: 9,
			mayRoute: () => false,
		});
		t.teardown(async () => dispatch.close());
		t.match(await dispatch.handle(createCall('a', 10)), {
			kind: 'error',
			error: 'entry-isolated',
			attempts: 0,
		});
	},
);

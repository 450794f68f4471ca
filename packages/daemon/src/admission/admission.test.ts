/** Admission behind real sockets with simulated dispatch and time. */
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {createAdaptorServer} from '@hono/node-server';
import * as tap from 'tap';
import {Agent, request} from 'undici';
import {emptyView, type Contract, type Service} from '@gullstand/core';
import {createCallerApp} from '../caller/caller-app.js';
import type {Call, CallHandler, CallResult} from '../caller/call.js';
import {hashToken} from '../caller/parse-call.js';
import {createEmbeddedSettings} from '../embedded/embedded-settings.js';
import {createLogger} from '../log/logger.js';
import {createMetrics} from '../metrics/metrics.js';
import {createAdmissionLayer} from './admission-layer.js';
import {getSlotShare} from './entry-share.js';

const slots = 4;

const service: Service = {
	name: 'quote',
	pool: 'quote',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503]},
};

const createContract = (customer: string, rate: number): Contract => ({
	customer,
	weight: 1,
	tokenHashes: [hashToken(customer)],
	services: [
		{
			service: 'quote',
			keepExecutors: 1,
			maxAway: 1,
			answerWithinMs: 1000,
			requestsPerSecond: rate,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
});

type Running = {call: Call; end: (result: CallResult) => void};

/** Executors that answer when the test ends a call or it is cancelled. */
const createExecutors = () => {
	const running = new Set<Running>();
	let calls = 0;
	const handle: CallHandler = async (call) =>
		new Promise((resolve) => {
			calls += 1;
			const each: Running = {
				call,
				end(result) {
					running.delete(each);
					resolve(result);
				},
			};
			running.add(each);
			call.cancellation.onCancel(() => {
				each.end({kind: 'error', error: 'cancelled', attempts: 1});
			});
		});
	const answerAll = () => {
		for (const each of running) {
			each.end({
				kind: 'answer',
				status: 200,
				headers: [],
				body: new Uint8Array(),
				executor: 'e1',
				attempts: 1,
			});
		}
	};

	const answerWith = (body: ReadableStream<Uint8Array>) => {
		const [first] = running;
		first?.end({
			kind: 'answer',
			status: 200,
			headers: [],
			body,
			executor: 'e1',
			attempts: 1,
		});
	};

	return {handle, running, answerAll, answerWith, countCalls: () => calls};
};

const startEntry = async (t: tap.Test) => {
	let time = 0;
	let slotsNow = slots;
	const now = () => time;
	const settings = createEmbeddedSettings();
	const contracts = [createContract('greedy', 0), createContract('quiet', 50)];
	const view = {
		...emptyView,
		revision: 1,
		services: new Map([[service.name, service]]),
		contracts: new Map(contracts.map((each) => [each.customer, each])),
	};
	const executors = createExecutors();
	const admission = createAdmissionLayer({
		getView: () => view,
		now,
		settings: {maxQueued: 10_000, transitMs: 0},
		getShare: () => 1,
		getSlots: () => slotsNow,
	});
	const app = createCallerApp({
		settings: settings.caller,
		getView: () => view,
		handle: admission.layer(executors.handle),
		now,
		logger: createLogger(settings.log, 'test', new PassThrough().resume()),
		metrics: createMetrics(),
		isStopping: () => false,
	});
	const server = createAdaptorServer({fetch: app.fetch}) as Server;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const agent = new Agent();
	t.teardown(async () => {
		await agent.destroy();
		admission.close();
		server.closeAllConnections();
		server.close();
	});
	const send = async (customer: string, signal?: AbortSignal) => {
		const res = await request(`http://127.0.0.1:${port}/s/quote/`, {
			dispatcher: agent,
			headers: {authorization: `Bearer ${customer}`},
			...(signal && {signal}),
		});
		await res.body.arrayBuffer();
		const {headers} = res;
		return {
			status: res.statusCode,
			outcome: headers['gullstand-outcome'],
			error: headers['gullstand-error'],
			retryAfter: Number(headers['retry-after']),
			retryAfterMs: Number(headers['gullstand-retry-after-ms']),
		};
	};

	const getStatus = () => admission.getStatus().get('quote');
	return {
		executors,
		send,
		getStatus,
		setTime(ms: number) {
			time = ms;
		},
		setSlots(count: number) {
			slotsNow = count;
		},
	};
};

/** Waits until a state is reached; the test runner's timeout is the limit. */
const until = async (isReached: () => boolean) => {
	while (!isReached()) {
		await new Promise((resolve) => {
			setTimeout(resolve, 1);
		});
	}
};

const many = 200;

tap.t.test('overload is refused while the slots are still held', async (t) => {
	const entry = await startEntry(t);
	const {executors, getStatus} = entry;
	const refused: Array<Awaited<ReturnType<typeof entry.send>>> = [];
	const served: Array<Awaited<ReturnType<typeof entry.send>>> = [];
	const all = Array.from({length: many}, async () => {
		const res = await entry.send('greedy');
		(res.status === 200 ? served : refused).push(res);
	});
	await until(
		() => refused.length + slots + (getStatus()?.queued ?? 0) === many,
	);
	t.equal(executors.countCalls(), slots);
	t.ok(refused.length > 0);
	for (const res of refused) {
		t.match(res, {status: 429, outcome: 'not-run', error: 'over-contract'});
		t.ok(res.retryAfterMs >= 100 && res.retryAfterMs <= 10_000);
		t.equal(res.retryAfter, Math.max(1, Math.ceil(res.retryAfterMs / 1000)));
	}

	const spread = new Set(refused.map((res) => res.retryAfterMs));
	t.ok(spread.size > refused.length / 2, 'callers return at different times');

	const quiet = entry.send('quiet');
	await until(() => getStatus()?.customers[1]?.queued === 1);
	executors.answerAll();
	await until(() => executors.running.size > 0);
	const [first] = executors.running;
	t.equal(first?.call.contract.customer, 'quiet', 'inside its contract');
	await until(() => {
		executors.answerAll();
		return served.length + refused.length === many;
	});
	t.match(await quiet, {status: 200});
	await Promise.all(all);
	t.equal(executors.countCalls(), served.length + 1, 'not-run is true');
	t.match(getStatus(), {inFlight: 0, queued: 0});
});

tap.t.test('a call that cannot meet its deadline is dropped', async (t) => {
	const entry = await startEntry(t);
	const all = Array.from({length: slots + 1}, async () => entry.send('quiet'));
	await until(() => entry.getStatus()?.queued === 1);
	entry.setTime(950);
	const dropped = await Promise.race(all);
	t.match(dropped, {
		status: 504,
		outcome: 'not-run',
		error: 'deadline-in-queue',
	});
	t.equal(entry.executors.countCalls(), slots);
	entry.executors.answerAll();
	await Promise.all(all);
});

tap.t.test('added slots dispatch queued calls', async (t) => {
	const entry = await startEntry(t);
	const {executors, getStatus} = entry;
	const all = Array.from({length: slots + 2}, async () => entry.send('quiet'));
	await until(() => getStatus()?.queued === 2);
	entry.setSlots(slots + 1);
	await until(() => getStatus()?.queued === 1);
	t.equal(executors.countCalls(), slots + 1);
	entry.setSlots(1);
	executors.answerAll();
	await until(() => executors.running.size === 1);
	t.equal(getStatus()?.inFlight, 1, 'removed slots are not reused');
	executors.answerAll();
	const answers = await Promise.all(all);
	t.ok(answers.every((res) => res.status === 200));
});

const streams: Array<
	[
		name: string,
		end: (
			controller: ReadableStreamDefaultController<Uint8Array>,
			caller: AbortController,
		) => void,
	]
> = [
	[
		'ends',
		(controller) => {
			controller.close();
		},
	],
	[
		'fails',
		(controller) => {
			controller.error(new Error('failed by the test'));
		},
	],
	[
		'is cancelled by its caller',
		(_controller, caller) => {
			caller.abort();
		},
	],
];

for (const [name, end] of streams) {
	tap.t.test(`a stream holds its slot until it ${name}`, async (t) => {
		const entry = await startEntry(t);
		const {executors, getStatus} = entry;
		const caller = new AbortController();
		const sent = Promise.allSettled([entry.send('quiet', caller.signal)]);
		await until(() => executors.running.size === 1);
		let source: ReadableStreamDefaultController<Uint8Array> | undefined;
		const body = new ReadableStream<Uint8Array>({
			start(controller) {
				source = controller;
				controller.enqueue(new Uint8Array(10));
			},
		});
		executors.answerWith(body);
		await until(() => executors.running.size === 0 && body.locked);
		t.equal(getStatus()?.inFlight, 1);
		end(source!, caller);
		const [result] = await sent;
		t.equal(result.status, name === 'ends' ? 'fulfilled' : 'rejected');
		await until(() => getStatus()?.inFlight === 0);
	});
}

tap.t.test('cancelled calls release slots and leave the queue', async (t) => {
	const entry = await startEntry(t);
	const {executors, getStatus} = entry;
	const abort = new AbortController();
	let refused = 0;
	const all = Array.from({length: many}, async () => {
		try {
			const res = await entry.send('greedy', abort.signal);
			refused += res.error ? 1 : 0;
		} catch {
			// Aborted by the test.
		}
	});
	await until(() => refused + slots + (getStatus()?.queued ?? 0) === many);
	t.ok((getStatus()?.queued ?? 0) > 0);
	abort.abort();
	await Promise.all(all);
	await until(() => {
		const status = getStatus();
		return status?.queued === 0 && status.inFlight === 0;
	});
	t.equal(executors.running.size, 0);
	const before = executors.countCalls();
	const next = Array.from({length: slots}, async () => entry.send('quiet'));
	await until(() => executors.countCalls() === before + slots);
	t.equal(executors.running.size, slots, 'all slots are free again');
	executors.answerAll();
	for (const res of await Promise.all(next)) {
		t.equal(res.status, 200);
	}
});

const shares: Array<[executors: number, share: number, expected: number]> = [
	[0, 1, 0],
	[3, 1, 18],
	[8, 1 / 9, 7],
	[1, 1 / 20, 1],
];

for (const [executors, share, expected] of shares) {
	tap.t.test(`slots of ${executors} executors, share ${share}`, async (t) => {
		t.equal(getSlotShare(service, executors, share, 9), expected);
	});
}

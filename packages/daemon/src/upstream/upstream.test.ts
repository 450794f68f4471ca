import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type * as core from '@gullstand/core';
import {answers, executor} from '@gullstand/stand-in';
import * as tap from 'tap';
import {createCancellation} from '../caller/cancellation.js';
import {
	defaultUpstreamConfig,
	type AttemptResult,
	type UpstreamRequest,
} from './types.js';
import * as upstream from './upstream.js';

type Cleanup = {readonly teardown: (fn: () => Promise<unknown>) => void};

const service: core.Service = {
	name: 'quotes',
	pool: 'quotes',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503], header: answers.refusalHeader},
};

const cfg = {
	...defaultUpstreamConfig,
	retryBudget: {ratio: 0.09, initialTokens: 50, maxTokens: 80},
	unresponsiveDetection: {
		...defaultUpstreamConfig.unresponsiveDetection,
		maxMs: 100,
		probeTimeoutMs: 200,
	},
	// Non-repeatable requests always get a new connection.
	reuse: {...defaultUpstreamConfig.reuse, provedForMs: -1},
};

// A constant draw makes the choice among equal executors deterministic.
const random = () => 0;
const longMs = 20_000;

const startExecutors = async (t: Cleanup, count: number) => {
	const started = Array.from({length: count}, async (_, index) =>
		executor.startExecutor({
			id: `e${index}`,
			availabilityZone: ['a', 'b', 'c'][index % 3] ?? 'a',
			slots: 8,
			drawServiceMs: () => 2,
			random,
		}),
	);
	const executors = await Promise.all(started);
	t.teardown(async () =>
		Promise.all(executors.map(async (each) => each.close())),
	);
	return executors;
};

const start = (t: Cleanup, targets: upstream.Targets, change = {}) => {
	const path = upstream.createUpstream({
		service,
		cfg: {...cfg, ...change},
		clock: Date.now,
		random,
	});
	path.setExecutors(targets);
	t.teardown(async () => path.close(0));
	return path;
};

const send = async (
	path: upstream.Upstream,
	id: string,
	change: Partial<UpstreamRequest> = {},
) =>
	path.dispatch({
		method: 'POST',
		path: '/quote',
		headers: {[answers.requestIdHeader]: id},
		body: Buffer.from(`body of ${id}`),
		repeatable: true,
		deadline: Date.now() + longMs,
		...change,
	});

const isOwnAnswer = (result: AttemptResult, id: string, bytes = 256) =>
	result.kind === 'answer' &&
	result.body instanceof Uint8Array &&
	answers.createAnswer(id, `body of ${id}`, bytes).equals(result.body);

const waitUntil = async (holds: () => boolean) => {
	const deadline = Date.now() + longMs;
	while (!holds() && Date.now() < deadline) {
		await sleep(5);
	}
};

/**
 * Finds the executor that the upstream prefers while all are healthy. The
 * first requests may be hedged, so three in a row must agree.
 */
const findPreferred = async (path: upstream.Upstream): Promise<string> => {
	let preferred = '';
	for (let agreed = 0; agreed < 3;) {
		const result = await send(path, 'first');
		const found = result.kind === 'answer' ? result.executor : '';
		agreed = result.attempts === 1 && found === preferred ? agreed + 1 : 0;
		preferred = found;
	}

	return preferred;
};

type FaultCase = {
	readonly fault: executor.Fault;
	readonly repeatable: boolean;
	readonly wanted: 'answer' | core.errors.ErrorKind;
	readonly outcome: core.Outcome;
	/** Whether the faulty executor ran the request. */
	readonly ran: boolean;
};

const half = (framing: 'length' | 'chunked') =>
	({kind: 'half', share: 1, framing}) as const;
const reset = {kind: 'reset', share: 1} as const;
const refuse = {kind: 'refuse', share: 1} as const;
const hang = {kind: 'hang'} as const;
const gone = {kind: 'gone'} as const;
const old = {kind: 'silent-old'} as const;
const answered = {wanted: 'answer', outcome: 'ran'} as const;
const lost = {wanted: 'upstream-reset', outcome: 'unknown'} as const;
const late = {wanted: 'upstream-timeout', outcome: 'unknown'} as const;

const faultCases: readonly FaultCase[] = [
	{fault: reset, repeatable: true, ...answered, ran: true},
	{fault: reset, repeatable: false, ...lost, ran: true},
	{fault: half('length'), repeatable: true, ...answered, ran: true},
	{fault: half('length'), repeatable: false, ...lost, ran: true},
	{fault: half('chunked'), repeatable: true, ...answered, ran: true},
	{fault: half('chunked'), repeatable: false, ...lost, ran: true},
	{fault: refuse, repeatable: true, ...answered, ran: false},
	{fault: refuse, repeatable: false, ...answered, ran: false},
	{fault: gone, repeatable: true, ...answered, ran: false},
	{fault: gone, repeatable: false, ...answered, ran: false},
	{fault: hang, repeatable: true, ...answered, ran: false},
	{fault: hang, repeatable: false, ...late, ran: false},
	{fault: old, repeatable: true, ...answered, ran: false},
	// It uses a new connection, and the executor is healthy.
	{fault: old, repeatable: false, ...answered, ran: true},
];

for (const {fault, repeatable, wanted, outcome, ran} of faultCases) {
	const name = `${JSON.stringify(fault)}, ${repeatable ? 'repeatable' : 'not repeatable'}: ${wanted}`;
	tap.t.test(name, async (t) => {
		const executors = await startExecutors(t, 3);
		const path = start(t, executors);
		const preferred = await findPreferred(path);
		const faulty = executors.find((each) => each.id === preferred);
		await faulty?.setFault(fault);
		if (fault.kind === 'gone') {
			const isClosed = () =>
				path.listExecutors().every((each) => each.connections === 0);
			await waitUntil(isClosed);
		}

		const deadline =
			Date.now() + (wanted === 'upstream-timeout' ? 300 : longMs);
		const result = await send(path, 'x', {repeatable, deadline});
		t.equal(result.kind === 'answer' ? 'answer' : result.error, wanted);
		t.equal(result.outcome, outcome);
		t.equal(isOwnAnswer(result, 'x'), wanted === 'answer', 'whole and own');
		t.equal(faulty?.runs.includes('x'), ran, 'log of the faulty executor');
		const runs = executors.flatMap((each) => each.runs);
		const times = runs.filter((each) => each === 'x').length;
		t.ok(repeatable || times <= 1, 'never twice');
	});
}

tap.t.test('not-run without executors, answered on return', async (t) => {
	const executors = await startExecutors(t, 3);
	const path = start(t, executors);
	await Promise.all(executors.map(async (each) => each.setFault(gone)));
	const result = await send(path, 'x', {repeatable: false});
	t.match(result, {error: 'upstream-unreachable', outcome: 'not-run'});
	await Promise.all(
		executors.map(async (each) => each.setFault({kind: 'none'})),
	);
	t.ok(isOwnAnswer(await send(path, 'y'), 'y'), 'the pool fails open');
});

tap.t.test('a request without any executor is refused', async (t) => {
	const path = start(t, []);
	const result = await send(path, 'x');
	t.match(result, {error: 'no-executor', outcome: 'not-run', attempts: 0});
});

tap.t.test('an ejected executor returns after a probe', async (t) => {
	const executors = await startExecutors(t, 2);
	const path = start(t, executors, {
		health: {...cfg.health, baseEjectionMs: 50},
	});
	await executors[1]?.setFault(gone);
	await send(path, 'x');
	const getStatus = () =>
		path.listExecutors().find((each) => each.id === 'e1')?.status;
	t.equal(getStatus(), 'ejected');
	await executors[1]?.setFault({kind: 'none'});
	await waitUntil(() => getStatus() === 'returning');
	t.equal(getStatus(), 'returning');
});

tap.t.test('an unresponsive connection retires all older ones', async (t) => {
	const [only] = await startExecutors(t, 1);
	const path = start(t, only ? [only] : []);
	const ids = ['a', 'b', 'c', 'd'];
	await Promise.all(ids.map(async (id) => send(path, id)));
	t.equal(path.listExecutors()[0]?.connections, 4);
	await only?.setFault(old);
	t.ok(isOwnAnswer(await send(path, 'x'), 'x'), 'hedged on a new connection');
	await waitUntil(() => path.getStats().retiredConnections > 0);
	t.ok(path.getStats().retiredConnections >= 3);
	const {attempts} = path.getStats();
	for (const id of ids) {
		t.ok(isOwnAnswer(await send(path, `${id}2`), `${id}2`));
	}

	t.equal(path.getStats().attempts, attempts + ids.length, 'no more retries');
});

tap.t.test('a large answer is streamed completely', async (t) => {
	const executors = await startExecutors(t, 1);
	const path = start(t, executors);
	const bytes = 1_000_000;
	const headers = {
		[answers.requestIdHeader]: 'x',
		[answers.answerBytesHeader]: String(bytes),
	};
	const result = await send(path, 'x', {headers});
	const body = result.kind === 'answer' ? result.body : undefined;
	t.ok(body instanceof Readable);
	const whole = await buffer(body as Readable);
	t.ok(answers.createAnswer('x', 'body of x', bytes).equals(whole));
	t.ok(isOwnAnswer(await send(path, 'y'), 'y'), 'the connection is reused');
	t.equal(path.listExecutors()[0]?.connections, 1);
});

for (const framing of ['length', 'chunked'] as const) {
	tap.t.test(`a truncated large answer (${framing}) is an error`, async (t) => {
		const executors = await startExecutors(t, 1);
		const path = start(t, executors);
		await executors[0]?.setFault(half(framing));
		const headers = {
			[answers.requestIdHeader]: 'x',
			[answers.answerBytesHeader]: '1000000',
		};
		const result = await send(path, 'x', {headers});
		const body = result.kind === 'answer' ? result.body : undefined;
		t.ok(body instanceof Readable);
		await t.rejects(buffer(body as Readable));
	});
}

tap.t.test('a streamed request body is sent only once', async (t) => {
	const executors = await startExecutors(t, 2);
	const path = start(t, executors);
	for (const each of executors) {
		await each.setFault(reset);
	}

	const body = Readable.from([Buffer.from('body of x')]);
	const result = await send(path, 'x', {body});
	t.match(result, {error: 'upstream-reset', outcome: 'unknown', attempts: 1});
});

tap.t.test('cancelled requests release their slots', async (t) => {
	const executors = await startExecutors(t, 1);
	const path = start(t, executors, {connectionsPerExecutor: 9});
	await executors[0]?.setFault(hang);
	const cancellation = createCancellation();
	const ids = Array.from({length: 8}, (_, index) => `w${index}`);
	const wave = ids.map(async (id) => send(path, id, {cancellation}));
	await waitUntil(() => path.listExecutors()[0]?.connections === 8);
	t.match(await send(path, 'full'), {error: 'overloaded'});
	cancellation.cancel();
	for (const result of await Promise.all(wave)) {
		t.match(result, {error: 'cancelled'});
	}

	await executors[0]?.setFault({kind: 'none'});
	const again = ids.map(async (id) => send(path, id));
	for (const result of await Promise.all(again)) {
		t.equal(result.kind, 'answer');
	}
});

tap.t.test('a removed executor only finishes its requests', async (t) => {
	const executors = await startExecutors(t, 2);
	const path = start(t, executors);
	const inFlight = ['a', 'b'].map(async (id) => send(path, id));
	await waitUntil(() => executors.every((each) => each.runs.length > 0));
	path.setExecutors(executors.slice(1));
	for (const result of await Promise.all(inFlight)) {
		t.equal(result.kind, 'answer');
	}

	const {length} = executors[0]?.runs ?? [];
	await Promise.all(['c', 'd', 'e'].map(async (id) => send(path, id)));
	t.equal(executors[0]?.runs.length, length);
});

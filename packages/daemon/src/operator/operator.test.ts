import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import * as tap from 'tap';
import {request} from 'undici';
import * as core from '@gullstand/core';
import type {Contract} from '@gullstand/core';
import * as platform from '@gullstand/ports';
import {createDaemon} from '../daemon.js';
import {startEmbeddedPlatform} from '../embedded/embedded-platform.js';
import {
	createEmbeddedSettings,
	embeddedOperatorToken,
} from '../embedded/embedded-settings.js';
import {createLogger} from '../log/logger.js';

const contract: Contract = {
	customer: 'brokers',
	weight: 1,
	tokenHashes: [],
	services: [
		{
			service: 'quoting',
			keepExecutors: 2,
			maxAway: 1,
			answerWithinMs: 500,
			requestsPerSecond: 10,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const path = '/v1/contracts/brokers';

type Call = {
	readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path?: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly token?: string;
};

const startFixture = async (t: tap.Test) => {
	const now = () => performance.now();
	const settings = createEmbeddedSettings();
	const embedded = await startEmbeddedPlatform(now);
	const createControl = () =>
		platform.faults.createFaultControl({
			random: () => 0.999,
			wait: async () => undefined,
			timeoutMs: 10,
		});
	const faults = createControl();
	// Scripted faults apply to commits only, as the daemon polls concurrently.
	const commitFaults = createControl();
	const {table} = embedded.platform;
	const faulty = platform.faults.wrapTableService(table, faults);
	const daemon = createDaemon({
		settings,
		platform: {
			...embedded.platform,
			table: {
				...faulty,
				commit: platform.faults.wrapTableService(faulty, commitFaults).commit,
			},
		},
		logger: createLogger(settings.log, 'test', new PassThrough().resume()),
		now,
	});
	await daemon.start((err) => {
		throw err;
	});
	t.teardown(async () => {
		await daemon.stop();
		await embedded.close();
	});
	const call = async ({method = 'GET', body, headers, ...rest}: Call) => {
		const url = `http://127.0.0.1:${daemon.getOperatorPort()}`;
		const token = rest.token ?? embeddedOperatorToken;
		const res = await request(new URL(rest.path ?? path, url), {
			method,
			headers: {authorization: `Bearer ${token}`, ...headers},
			body: body === undefined ? null : JSON.stringify(body),
		});
		return {
			status: res.statusCode,
			etag: res.headers.etag as string | undefined,
			outcome: res.headers['gullstand-outcome'],
			body: (await res.body.json()) as Record<string, unknown>,
		};
	};

	return {table, faults, commitFaults, call};
};

const create: Call = {
	method: 'PUT',
	body: contract,
	headers: {'if-none-match': '*'},
};

tap.t.test('a losing concurrent change gets the current value', async (t) => {
	const {call} = await startFixture(t);
	const {etag} = await call(create);
	const headers = {'if-match': etag!};
	const [one, two] = await Promise.all([
		call({method: 'PUT', headers, body: {...contract, weight: 2}}),
		call({method: 'PUT', headers, body: {...contract, weight: 3}}),
	]);
	const [winner, loser] = one.status === 200 ? [one, two] : [two, one];
	t.equal(winner.status, 200);
	t.equal(loser.status, 409);
	t.same(loser.body.current, winner.body.contract);
	t.equal(loser.etag, winner.etag);
	const shown = await call({});
	t.same(shown.body.contract, winner.body.contract);
});

const refusals: Array<[string, Call, number, object]> = [
	['no precondition', {...create, headers: {}}, 428, {}],
	['bad tag', {...create, headers: {'if-match': '*'}}, 400, {}],
	['no such object', {path: '/v1/contracts/nobody'}, 404, {}],
	['no such path', {path: '/v1/nothing'}, 404, {}],
	['callers\u2019 token', {...create, token: 'demo-caller-token'}, 401, {}],
	[
		'another key than the path',
		{...create, path: '/v1/contracts/other'},
		400,
		{faults: [{field: 'key'}]},
	],
	[
		'a wrong field',
		{...create, body: {...contract, weight: 0}},
		400,
		{faults: [{field: 'weight'}]},
	],
	[
		'an impossible promise',
		{
			...create,
			body: {
				...contract,
				services: [{...contract.services[0], keepExecutors: 9}],
			},
		},
		422,
		{problems: [{customer: 'brokers', problems: [{kind: 'pool-too-small'}]}]},
	],
	[
		'a service that a contract names',
		{
			method: 'DELETE',
			path: '/v1/services/quoting',
			headers: {'if-match': '"1"'},
		},
		422,
		{problems: [{customer: 'demo', problems: [{kind: 'unknown-service'}]}]},
	],
	[
		'a change of the pool without a move',
		{
			method: 'PUT',
			path: '/v1/instances/quoting-1',
			headers: {'if-match': '"3"'},
			body: {
				id: 'quoting-1',
				kind: 'executor',
				address: '127.0.0.1:9',
				pool: 'claims',
				region: 'local',
				availabilityZone: 'zone-1',
				rack: 'rack-1',
			},
		},
		400,
		{faults: [{field: 'pool'}, {field: 'address'}]},
	],
	[
		'deleting a serving instance',
		{
			method: 'DELETE',
			path: '/v1/instances/quoting-1',
			headers: {'if-match': '"3"'},
		},
		400,
		{faults: [{field: 'state'}]},
	],
];

tap.t.test('refuses invalid requests with a reason', async (t) => {
	const {call} = await startFixture(t);
	for (const [name, sent, status, body] of refusals) {
		const answer = await call(sent);
		t.equal(answer.status, status, name);
		t.match(answer.body, body, name);
		t.equal(answer.outcome, 'not-run', name);
	}

	t.match(await call({path: '/v1/changes'}), {body: {revision: 1}});
});

tap.t.test('shows the diff of a change and the history', async (t) => {
	const {call} = await startFixture(t);
	const {etag} = await call(create);
	const services = [{...contract.services[0]!, maxAway: 0}];
	const next = {...contract, services};
	const diff = [{path: 'services.quoting.maxAway', before: 1, after: 0}];
	t.match(await call({method: 'POST', path: `${path}/diff`, body: next}), {
		status: 200,
		body: {diff, problems: []},
	});
	await call({method: 'PUT', body: next, headers: {'if-match': etag!}});
	const history = await call({path: '/v1/changes?object=contract/brokers'});
	t.match(history.body, {
		changes: [
			{revision: 3, author: 'demo', changes: [{contract: next}]},
			{revision: 2, author: 'demo', changes: [{contract}]},
		],
	});
	const pool = await call({path: '/v1/pools/quoting'});
	t.match(pool.body, {
		pool: {
			states: {serving: 3},
			services: [{mayBeAway: {value: 0, customer: 'brokers'}}],
		},
	});
	const shown = await call({});
	await call({method: 'DELETE', headers: {'if-match': shown.etag!}});
	t.match(await call({}), {status: 404});
});

const createRow = (inForce: number) => ({
	address: '127.0.0.1:1',
	availabilityZone: 'zone-2',
	heard: [],
	quorum: [],
	upMs: 60_000,
	acknowledged: {
		entry: 'e2',
		incarnation: 'i',
		sequence: 1,
		inForce,
		holding: [],
	},
});

tap.t.test('waits until in force, shows entries behind', async (t) => {
	const {table, call} = await startFixture(t);
	const put = async (inForce: number) =>
		table.commit(
			[
				{
					kind: 'put',
					table: core.agreementTables.entry,
					key: 'e2',
					value: createRow(inForce),
					when: {kind: 'any'},
				},
			],
			'heartbeat',
		);
	await put(1);
	t.match(await call({...create, path: `${path}?wait=150`}), {
		status: 202,
		body: {
			isInForce: false,
			lagging: [{entry: 'e2', reason: 'not-in-force', inForce: 1}],
		},
	});
	t.match(await call({path: '/v1/entries'}), {
		body: {entries: [{entry: 'e2', lags: 'not-in-force'}]},
	});
	await put(2);
	t.match(await call({path: '/v1/changes/2?wait=5000'}), {
		status: 200,
		body: {isInForce: true, lagging: [], change: {author: 'demo'}},
	});
	const {body} = await call({path: '/v1/entries'});
	const [entry] = body.entries as Array<{etag: string}>;
	const forget = {method: 'DELETE', path: '/v1/entries/e2'} as const;
	t.match(await call(forget), {status: 428});
	const stale = await call({...forget, headers: {'if-match': '"1"'}});
	t.equal(stale.status, 409);
	const done = await call({...forget, headers: {'if-match': entry!.etag}});
	t.match(done, {status: 200, body: {forgotten: 'e2'}});
});

tap.t.test('reads back after a lost reply, refuses in outages', async (t) => {
	const {faults, commitFaults, call} = await startFixture(t);
	commitFaults.script(['reply-lost']);
	const created = await call(create);
	t.match(created, {status: 200, body: {revision: 2}});
	const {etag} = await call({});
	faults.set({isDown: true});
	t.match(await call({}), {
		status: 200,
		etag: undefined,
		body: {source: 'view', contract},
	});
	const change = {
		method: 'PUT',
		body: {...contract, weight: 2},
		headers: {'if-match': etag!},
	} as const;
	t.match(await call(change), {status: 503, outcome: 'not-run'});
	t.match(await call({path: '/v1/status'}), {
		body: {view: {condition: {kind: 'store-unavailable'}}},
	});
	faults.set({isDown: false});
	t.match(await call(change), {status: 200, body: {revision: 3}});
});

const getInstance = async (
	call: Awaited<ReturnType<typeof startFixture>>['call'],
	id: string,
) => {
	const {body} = await call({path: `/v1/instances/${id}`});
	return body.instance as {pool: string; state: string};
};

tap.t.test('moves an instance within the contract terms', async (t) => {
	const {call} = await startFixture(t);
	const move = {method: 'POST', body: {to: 'claims'}} as const;
	const started = await call({...move, path: '/v1/instances/quoting-1/move'});
	t.match(started, {status: 200, body: {transition: 'startDrain'}});
	const other = await call({...move, path: '/v1/instances/quoting-2/move'});
	t.match(other, {status: 422, outcome: 'not-run'});
	t.match(other.body, {
		problems: [{customer: 'demo', service: 'quoting', bound: 2, after: 1}],
	});
	let moved = await getInstance(call, 'quoting-1');
	while (moved.pool !== 'claims') {
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
		moved = await getInstance(call, 'quoting-1');
	}

	t.equal(moved.state, 'serving');
	t.match(await call({path: '/v1/moves'}), {body: {moves: []}});
	t.match(
		await call({method: 'DELETE', path: '/v1/instances/quoting-1/move'}),
		{status: 404},
	);
	t.match(await call({...move, path: '/v1/instances/quoting-1/move'}), {
		status: 400,
		body: {faults: [{message: 'is in that pool already'}]},
	});
	t.match(await call({...move, path: '/v1/instances/nothing/move'}), {
		status: 404,
	});
});

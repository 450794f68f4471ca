/** Three entries over sockets on one platform, for tests of agreement. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import * as core from '@gullstand/core';
import type {
	Contract,
	followedView,
	Instance,
	Result,
	Service,
	viewChange,
} from '@gullstand/core';
import {
	createMemoryInstanceList,
	createMemoryObjectStore,
	createMemoryTableService,
	createMemoryWorkers,
	type TableService,
} from '@gullstand/ports';
import {request} from 'undici';
import {hashToken} from '../caller/parse-call.js';
import {createDaemon, type Daemon} from '../daemon.js';
import {createEmbeddedSettings} from '../embedded/embedded-settings.js';
import {createLogger} from '../log/logger.js';
import * as moveRows from '../moves/move-rows.js';
import {commitChange} from '../view/commit-change.js';
import {counterRow, readCounter, toJson} from '../view/tables.js';
import {agreementDefaults} from './agreement.js';

type Teardown = {
	readonly teardown: (end: () => void | Promise<void>) => void;
};

/** Monotonic time in milliseconds. */
export const now = () => performance.now();

/** Short periods, to keep tests fast. */
export const times = {
	...agreementDefaults,
	viewPollMs: 100,
	heartbeatMs: 100,
	listPollMs: 100,
	acknowledgeMs: 10,
	shardPollMs: 100,
	movePollMs: 20,
	snapshotMs: 50,
	callTimeoutMs: 500,
};

const token = 'caller';

const createService = (name: string): Service => ({
	name,
	pool: name,
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503]},
});

const contract: Contract = {
	customer: 'north',
	weight: 1,
	tokenHashes: [hashToken(token)],
	services: ['quote', 'claims'].map((service) => ({
		service,
		keepExecutors: 1,
		maxAway: 1,
		answerWithinMs: 1000,
		requestsPerSecond: 100,
	})),
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

/** An executor that records the service of each request while it runs. */
const startExecutor = async (id: string, pool: string) => {
	const running = new Map<string, number>();
	let mixed = 0;
	let runs = 0;
	const server = createServer(async (req, res) => {
		const service = (req.url ?? '').split('/')[1] ?? '';
		const add = (change: number) => {
			running.set(service, (running.get(service) ?? 0) + change);
		};

		runs += 1;
		add(1);
		const others = [...running].filter(
			([name, count]) => name !== service && count > 0,
		);
		mixed += others.length;
		await wait(5);
		add(-1);
		res.end(service);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const instance: Instance = {
		id,
		kind: 'executor',
		address: `127.0.0.1:${port}`,
		pool,
		epoch: 1,
		state: 'serving',
		region: 'r',
		availabilityZone: 'z1',
		rack: id,
	};
	return {
		instance,
		countMixed: () => mixed,
		countRuns: () => runs,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

/** A table service that can be cut off from one daemon. */
const createCuttableTable = (inner: TableService) => {
	const cut = {isCut: false};
	const call = async <Value>(action: () => Promise<Value>) => {
		if (cut.isCut) {
			await wait(5);
			return core.fail({kind: 'unavailable'} as const);
		}

		return action();
	};

	const table: TableService = {
		get: async (name, key) => call(async () => inner.get(name, key)),
		range: async (query) => call(async () => inner.range(query)),
		commit: async (writes, id) => call(async () => inner.commit(writes, id)),
	};
	return {cut, table};
};

/** Waits until a condition is true; throws after the timeout. */
export const waitUntil = async (
	isTrue: () => boolean | Promise<boolean>,
	timeoutMs = 15_000,
) => {
	const deadline = now() + timeoutMs;
	while (!(await isTrue())) {
		if (now() > deadline) {
			throw new Error('the condition was not met before the timeout');
		}

		await wait(10);
	}
};

/** Starts three entries, four executors and one platform. */
export const startFleet = async (t: Teardown, agreementTimes = times) => {
	const memory = createMemoryTableService();
	const objects = createMemoryObjectStore();
	const list = createMemoryInstanceList();
	const executors = await Promise.all(
		['x0', 'x1', 'x2', 'x3'].map(async (id, index) =>
			startExecutor(id, index < 2 ? 'quote' : 'claims'),
		),
	);
	t.teardown(() => {
		for (const executor of executors) {
			executor.close();
		}
	});
	const absent = {kind: 'absent'} as const;
	await commitChange(
		memory,
		[
			...['quote', 'claims'].map((name) => ({
				table: 'service' as const,
				key: name,
				value: toJson(createService(name)),
				when: absent,
			})),
			...executors.map(({instance}) => ({
				table: 'instance' as const,
				key: instance.id,
				value: toJson(instance),
				when: absent,
			})),
			{
				table: 'contract' as const,
				key: 'north',
				value: toJson(contract),
				when: absent,
			},
		],
		'first',
	);

	const startEntry = async (id: string) => {
		const {cut, table} = createCuttableTable(memory);
		const base = createEmbeddedSettings();
		const settings = {
			...base,
			entry: {...base.entry, id},
			peers: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
		};
		const workers = createMemoryWorkers({now, workers: []});
		const daemon = createDaemon({
			settings,
			platform: {table, objects, list, workers},
			logger: createLogger(settings.log, id, new PassThrough().resume()),
			now,
			agreementTimes,
		});
		t.teardown(async () => daemon.stop());
		return {id, daemon, cut};
	};

	const run = async ({id, daemon}: {id: string; daemon: Daemon}) => {
		await daemon.start((err) => {
			throw err;
		});
		list.set({
			id,
			role: 'entry',
			address: daemon.agreement.peers.getAddress(),
			availabilityZone: 'z1',
			state: 'live',
			incarnation: `${id}-1`,
		});
	};

	const entries = [];
	for (const id of ['e1', 'e2', 'e3']) {
		const entry = await startEntry(id);
		await run(entry);
		entries.push(entry);
	}

	return {memory, list, executors, entries, startEntry, run};
};

/** A running fleet. */
export type Fleet = Awaited<ReturnType<typeof startFleet>>;

/** Sends one request of a caller. */
export const call = async (daemon: Daemon, service: string) => {
	const url = `http://127.0.0.1:${daemon.getCallerPort()}/s/${service}/${service}/`;
	const headers = {authorization: `Bearer ${token}`};
	const res = await request(url, {headers});
	return {status: res.statusCode, text: await res.body.text()};
};

type MoveRequest = {
	readonly instance: string;
	readonly to: string;
	readonly author: string;
};

const maxRevisionRaces = 20;

/**
 * Starts a move without the checks of the operators' API. The drain revision is
 * that of the transaction.
 */
const startMove = async (
	table: TableService,
	{instance: id, to, author}: MoveRequest,
	known: followedView.FollowedView,
): Promise<Result<viewChange.ViewDelta, unknown>> => {
	for (let races = 0; ; races += 1) {
		const current = await readCounter(table);
		const instance = await moveRows.readInstance(table, id);
		const row = await table.get(core.agreementTables.move, id);
		const isRead = current.ok && instance.ok && row.ok;
		if (!isRead || current.value.revision < known.view.revision) {
			return core.fail({kind: 'unavailable'});
		}

		if (!instance.value) {
			return core.fail({kind: 'not-found'});
		}

		const step = core.move.startMove({
			instance: instance.value,
			to,
			author,
			revision: current.value.revision + 1,
			isMoving: row.value !== undefined,
		});
		if (!step.ok) {
			return step;
		}

		const {revision, deltaId} = current.value;
		const committed = await moveRows.commitStep(table, step.value, {
			author,
			known: {view: {...core.emptyView, revision}, deltaId},
			mustBeNewest: true,
		});
		const isRace =
			!committed.ok &&
			committed.error.kind === 'conflict' &&
			committed.error.table === counterRow.table;
		if (!isRace || races >= maxRevisionRaces) {
			return committed;
		}
	}
};

/** Requests a move at the first entry. */
export const requestMove = async (
	fleet: Fleet,
	instance: string,
	to: string,
) => {
	const {follower, member} = fleet.entries[0]!.daemon.agreement;
	const started = await startMove(
		fleet.memory,
		{instance, to, author: 'ann'},
		follower.getFollowed(),
	);
	if (started.ok) {
		member.announce(started.value);
	}

	return started.ok;
};

/** Reads the row of an instance. */
export const readInstance = async ({memory}: Fleet, id: string) => {
	const row = await memory.get('instance', id);
	return (row.ok ? row.value?.value : undefined) as unknown as Instance;
};

/** True if the instance serves the pool according to its row. */
export const isServing = async (fleet: Fleet, id: string, pool: string) => {
	const instance = await readInstance(fleet, id);
	return instance.pool === pool && instance.state === 'serving';
};

/** Runs callers on every entry until stopped; collects wrong answers. */
export const startCallers = (fleet: Fleet) => {
	const state = {isStopped: false, answers: 0, wrong: [] as string[]};
	const callers = fleet.entries.flatMap(({daemon}) =>
		['quote', 'claims'].map(async (service) => {
			while (!state.isStopped) {
				const {status, text} = await call(daemon, service);
				state.answers += 1;
				if (status !== 200 || text !== service) {
					state.wrong.push(`${service}: ${status} ${text}`);
				}
			}
		}),
	);
	const stop = async () => {
		state.isStopped = true;
		await Promise.all(callers);
	};

	return {state, stop};
};

/**
 * `bench idle`: processor time, heap and control traffic of idle daemons over
 * sockets on an in-memory platform, extrapolated from several fleet sizes.
 */
import diagnostics from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {PassThrough} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import v8 from 'node:v8';
import vm from 'node:vm';
import * as daemon from '@gullstand/daemon';
import * as platform from '@gullstand/ports';
import {check} from '../frame/check.js';
import type {Bench, BenchOptions} from '../frame/types.js';

type Size = {
	readonly entries: number;
	readonly pools: number;
	readonly instances: number;
};

/** Mean costs of one daemon. */
type Cost = {
	/** Share of one core, including the in-memory platform. */
	readonly core: number;
	readonly heapMb: number;
	readonly storeReadsPerSecond: number;
	readonly storeWritesPerSecond: number;
	readonly storeBytesPerSecond: number;
	readonly peerBytesPerSecond: number;
};

const maxCore = 0.015;

const maxHeapMb = 32;

const maxBytesPerSecond = 8 * 1024;

const warmUpMs = 6000;

const bytesPerMb = 1_048_576;

const rowsPerCommit = 50;

/** The current size, on which the measured sizes are based. */
const today: Size = {entries: 9, pools: 5, instances: 75};

const few: Size = {...today, entries: 3};

const sizes = {
	today,
	few,
	manyEntries: {...today, entries: 27},
	manyPools: {...few, pools: 151},
	manyInstances: {...few, instances: 3300},
} as const;

/** Size to which the costs are extrapolated. */
const planned: Size = {entries: 243, pools: 151, instances: 3300};

const now = () => performance.now();

const createRows = ({pools, instances}: Size): daemon.ViewChange[] => {
	const services = Array.from(
		{length: pools},
		(_, index): daemon.ViewChange => ({
			table: 'service',
			key: `s${index}`,
			value: {
				name: `s${index}`,
				pool: `p${index}`,
				slotsPerExecutor: 8,
				connectionsPerExecutor: 64,
				idempotent: true,
				nonRepeatableRoutes: [],
				refusal: {statuses: []},
			},
			when: {kind: 'absent'},
		}),
	);
	const rows = Array.from(
		{length: instances},
		(_, index): daemon.ViewChange => ({
			table: 'instance',
			key: `i${index}`,
			value: {
				id: `i${index}`,
				kind: 'executor',
				address: '127.0.0.1:9',
				region: 'r',
				availabilityZone: `z${index % 3}`,
				rack: `k${Math.floor(index / 4)}`,
				pool: `p${index % pools}`,
				epoch: 1,
				state: 'serving',
			},
			when: {kind: 'absent'},
		}),
	);
	return [...services, ...rows];
};

const createStore = async (size: Size) => {
	const table = platform.createMemoryTableService();
	const rows = createRows(size);
	for (let at = 0; at < rows.length; at += rowsPerCommit) {
		const part = rows.slice(at, at + rowsPerCommit);
		await daemon.commitChange(table, part, `bench-${at}`);
	}

	const meter = {reads: 0, writes: 0, bytes: 0};
	const count = (...parts: unknown[]) => {
		meter.bytes += JSON.stringify(parts).length;
	};

	const metered: platform.TableService = {
		async get(...args) {
			const result = await table.get(...args);
			meter.reads += 1;
			count(args, result);
			return result;
		},
		async range(query) {
			const result = await table.range(query);
			meter.reads += 1;
			count(query, result);
			return result;
		},
		async commit(writes, operationId) {
			const result = await table.commit(writes, operationId);
			meter.writes += 1;
			count(writes, operationId, result);
			return result;
		},
	};
	return {metered, meter};
};

const startEntry = async (
	id: string,
	shared: daemon.Platform,
	list: platform.MemoryInstanceList,
): Promise<daemon.Daemon> => {
	const base = daemon.createEmbeddedSettings(0, 0, 'error');
	const settings: daemon.Settings = {
		...base,
		entry: {...base.entry, id},
		peers: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
	};
	const created = daemon.createDaemon({
		settings,
		platform: shared,
		logger: daemon.createLogger(settings.log, id, new PassThrough().resume()),
		now,
	});
	await created.start((err) => {
		throw err;
	});
	list.set({
		id,
		role: 'entry',
		address: created.agreement.peers.getAddress(),
		availabilityZone: 'zone-1',
		state: 'live',
		incarnation: created.agreement.self.incarnation,
	});
	return created;
};

/** Counts the bytes of all client sockets of this process, both ways. */
const createSocketMeter = () => {
	const sockets: Socket[] = [];
	const onSocket = (message: unknown) => {
		sockets.push((message as {socket: Socket}).socket);
	};

	diagnostics.subscribe('net.client.socket', onSocket);
	return {
		getBytes: () =>
			sockets.reduce(
				(sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten,
				0,
			),
		stop() {
			diagnostics.unsubscribe('net.client.socket', onSocket);
		},
	};
};

/** Returns the heap in use after a garbage collection. */
const getHeapBytes = (): number => {
	v8.setFlagsFromString('--expose_gc');
	(vm.runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
};

const measure = async (size: Size, lengthMs: number): Promise<Cost> => {
	const heapBefore = getHeapBytes();
	const sockets = createSocketMeter();
	const {metered, meter} = await createStore(size);
	const list = platform.createMemoryInstanceList();
	for (let index = 0; index < size.instances; index += 1) {
		list.set({
			id: `i${index}`,
			role: 'executor',
			address: '127.0.0.1:9',
			availabilityZone: `z${index % 3}`,
			state: 'live',
			incarnation: '1',
		});
	}

	const shared: daemon.Platform = {
		table: metered,
		objects: platform.createMemoryObjectStore(),
		list,
		workers: platform.createMemoryWorkers({workers: [], now}),
	};
	const daemons: daemon.Daemon[] = [];
	for (let index = 0; index < size.entries; index += 1) {
		daemons.push(await startEntry(`e${index}`, shared, list));
	}

	await wait(warmUpMs);
	const storeBefore = {...meter};
	const peersBefore = sockets.getBytes();
	const cpuBefore = process.cpuUsage();
	await wait(lengthMs);
	const cpu = process.cpuUsage(cpuBefore);
	const perDaemon = (value: number) => value / size.entries / (lengthMs / 1000);
	const heap = getHeapBytes() - heapBefore;
	const cost: Cost = {
		core: perDaemon((cpu.user + cpu.system) / 1_000_000),
		heapMb: heap / size.entries / bytesPerMb,
		storeReadsPerSecond: perDaemon(meter.reads - storeBefore.reads),
		storeWritesPerSecond: perDaemon(meter.writes - storeBefore.writes),
		storeBytesPerSecond: perDaemon(meter.bytes - storeBefore.bytes),
		peerBytesPerSecond: perDaemon(sockets.getBytes() - peersBefore),
	};
	await Promise.all(daemons.map(async (each) => each.stop()));
	sockets.stop();
	return cost;
};

const getBytes = (cost: Cost): number =>
	cost.storeBytesPerSecond + cost.peerBytesPerSecond;

const round = (value: number): number => Math.round(value * 10_000) / 10_000;

const run = async ({short, log}: BenchOptions) => {
	const lengthMs = short ? 2000 : 20_000;
	const costs = new Map<string, Cost>();
	for (const [name, size] of Object.entries(sizes)) {
		costs.set(name, await measure(size, lengthMs));
		log(`${name}: ${JSON.stringify(costs.get(name))}`);
	}

	const figures: Record<string, number> = {};
	for (const [name, cost] of costs) {
		for (const [key, value] of Object.entries(cost)) {
			figures[`${name} ${key}`] = round(value);
		}
	}

	const get = (name: keyof typeof sizes): Cost => costs.get(name)!;
	const extrapolate = (value: (cost: Cost) => number): number => {
		// Noise may make a slope negative; it is limited to 0.
		const getSlope = (
			name: keyof typeof sizes,
			from: keyof typeof sizes,
			count: number,
		): number => Math.max(0, (value(get(name)) - value(get(from))) / count);
		// The pools are divided evenly among the daemons.
		const morePools = (sizes.manyPools.pools - few.pools) / few.entries;
		const moreInstances = sizes.manyInstances.instances - few.instances;
		const moreEntries = sizes.manyEntries.entries - today.entries;
		const heldPools =
			planned.pools / planned.entries - today.pools / today.entries;
		return (
			value(get('today')) +
			getSlope('manyEntries', 'today', moreEntries) *
				(planned.entries - today.entries) +
			getSlope('manyPools', 'few', morePools) * heldPools +
			getSlope('manyInstances', 'few', moreInstances) *
				(planned.instances - today.instances)
		);
	};

	const core = extrapolate((cost) => cost.core);
	const heapMb = extrapolate((cost) => cost.heapMb);
	const bytes = extrapolate((cost) => getBytes(cost));
	figures['planned core, by slopes'] = round(core);
	figures['planned heapMb, by slopes'] = round(heapMb);
	figures['planned bytesPerSecond, by slopes'] = round(bytes);
	return {
		figures,
		baselines: {},
		checks: [
			check('today: share of a core', get('today').core, '<=', maxCore),
			check('today: heap, MB', get('today').heapMb, '<=', maxHeapMb),
			check('today: bytes/s', getBytes(get('today')), '<=', maxBytesPerSecond),
			check('planned size: share of a core', core, '<=', maxCore),
			check('planned size: heap, MB', heapMb, '<=', maxHeapMb),
			check('planned size: bytes/s', bytes, '<=', maxBytesPerSecond),
		],
	};
};

/** The idle bench. */
export const bench: Bench = {
	name: 'idle',
	summary: 'what control costs a daemon while nobody calls',
	run,
};

/**
 * Real daemons on a platform over HTTP whose table service is down. Measures
 * the answers of callers and the start time of an entry during the outage.
 */
import {performance} from 'node:perf_hooks';
import {PassThrough} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request} from 'undici';
import * as daemon from '@gullstand/daemon';
import * as platform from '@gullstand/ports';
import * as standIn from '@gullstand/stand-in';
import {createRandom} from '../../frame/random.js';
import {getQuantile} from '../agreement/quantile.js';

/** Answers that callers received in one phase. */
export type PhaseReport = {
	readonly answers: number;
	/** Calls without a successful answer with outcome `ran`. */
	readonly notRan: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** Result of one run; times in milliseconds. */
export type DaemonsReport = {
	readonly before: PhaseReport;
	readonly during: PhaseReport;
	readonly after: PhaseReport;
	/** Answers with the instance list down too, by status of the entries. */
	readonly listDown: {
		readonly registered: PhaseReport;
		readonly sponsored: PhaseReport;
	};
	readonly startFromPeerMs: number;
	readonly startFromSnapshotMs: number;
	readonly origins: readonly string[];
	readonly mostCallsInSecondOnReturn: number;
};

/** Options of one run; lengths of the phases in milliseconds. */
export type DaemonsOptions = {
	readonly seed: number;
	readonly healthyMs: number;
	readonly outageMs: number;
};

type Entry = {
	readonly id: string;
	readonly daemon: daemon.Daemon;
	readonly agent: Agent;
	/** Closes the connections to the platform. */
	readonly close: () => Promise<void>;
};

const now = () => performance.now();

const callersPerEntry = 4;

const pauseMs = 20;

const maxStartMs = 20_000;

const entryIds = ['e1', 'e2', 'e3'] as const;

const call = async (entry: Entry): Promise<boolean> => {
	const url = `http://127.0.0.1:${entry.daemon.getCallerPort()}/s/quoting/quote`;
	try {
		const res = await request(url, {
			dispatcher: entry.agent,
			headers: {authorization: `Bearer ${daemon.embeddedCallerToken}`},
		});
		await res.body.arrayBuffer();
		const outcome = res.headers[daemon.headerNames.outcome];
		return res.statusCode === 200 && outcome === 'ran';
	} catch {
		return false;
	}
};

const startTestEnvironment = async (seed: number) => {
	const embedded = await daemon.startEmbeddedPlatform(now);
	const faults = platform.faults.createFaultControl({
		random: createRandom(seed),
		wait: async (ms) => wait(ms),
		timeoutMs: 500,
	});
	const entries = platform.createMemoryInstanceList();
	const arrivals: number[] = [];
	const faulty = platform.faults.wrapTableService(
		embedded.platform.table,
		faults,
	);
	const count = <Value>(value: Value): Value => {
		arrivals.push(now());
		return value;
	};

	const metered: platform.TableService = {
		get: async (table, key) => count(faulty).get(table, key),
		range: async (query) => count(faulty).range(query),
		commit: async (writes, id) => count(faulty).commit(writes, id),
	};
	const listState = {isDown: false};
	const list: platform.InstanceList = {
		async list() {
			if (listState.isDown) {
				return {ok: false, error: {kind: 'unavailable'}};
			}

			const [one, two] = await Promise.all([
				embedded.platform.list.list(),
				entries.list(),
			]);
			return one.ok && two.ok
				? {ok: true, value: [...one.value, ...two.value]}
				: one;
		},
	};
	const server = await standIn.startPlatformServer({
		random: createRandom(seed),
		ports: {
			tables: metered,
			objects: embedded.platform.objects,
			instances: list,
			workers: embedded.platform.workers,
		},
	});
	return {embedded, faults, entries, arrivals, server, listState};
};

type TestEnvironment = Awaited<ReturnType<typeof startTestEnvironment>>;

/** Starts an entry; resolves once it answers callers. */
const startEntry = async (environment: TestEnvironment, id: string) => {
	const startedAt = now();
	const base = daemon.createEmbeddedSettings(0, 0, 'error');
	const settings: daemon.Settings = {
		...base,
		entry: {...base.entry, id},
		peers: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
	};
	const opened = daemon.openPlatform(
		{kind: 'http', url: environment.server.origin, timeoutMs: 2000},
		now,
	);
	const created = daemon.createDaemon({
		settings,
		platform: opened.platform,
		logger: daemon.createLogger(settings.log, id, new PassThrough().resume()),
		now,
	});
	await created.start((err) => {
		throw err;
	});
	const {close} = opened;
	const entry = {id, daemon: created, agent: new Agent(), close};
	while (!(await call(entry)) && now() - startedAt < maxStartMs) {
		await wait(5);
	}

	environment.entries.set({
		id,
		role: 'entry',
		address: created.agreement.peers.getAddress(),
		availabilityZone: 'zone-1',
		state: 'live',
		incarnation: created.agreement.self.incarnation,
	});
	const servesAfterMs = now() - startedAt;
	const isServing = servesAfterMs < maxStartMs;
	return {entry, servesAfterMs: isServing ? servesAfterMs : Number.NaN};
};

const stopEntry = async (environment: TestEnvironment, entry: Entry) => {
	environment.entries.remove(entry.id);
	await entry.daemon.stop();
	await entry.agent.close();
	await entry.close();
};

/** Runs callers on some entries for a given time. */
const runPhase = async (
	entries: readonly Entry[],
	lengthMs: number,
): Promise<PhaseReport> => {
	const until = now() + lengthMs;
	const times: number[] = [];
	let notRan = 0;
	const runCaller = async (entry: Entry) => {
		while (now() < until) {
			const sentAt = now();
			const hasRun = await call(entry);
			times.push(now() - sentAt);
			notRan += hasRun ? 0 : 1;
			await wait(pauseMs);
		}
	};

	const callers = entries.flatMap((entry) =>
		Array.from({length: callersPerEntry}, async () => runCaller(entry)),
	);
	await Promise.all(callers);
	return {
		answers: times.length,
		notRan,
		p50Ms: getQuantile(times, 0.5),
		p99Ms: getQuantile(times, 0.99),
	};
};

const waitForSnapshot = async (environment: TestEnvironment) => {
	const deadline = now() + maxStartMs;
	while (now() < deadline) {
		const {objects} = environment.embedded.platform;
		const read = await daemon.readSnapshot(objects, daemon.fleetName);
		if (read.ok) {
			return;
		}

		await wait(50);
	}

	throw new Error('no snapshot was written');
};

const getPeakPerSecond = (arrivals: readonly number[], from: number) => {
	const late = arrivals.filter((at) => at >= from);
	return Math.max(
		0,
		...late.map(
			(start) => late.filter((at) => at >= start && at < start + 1000).length,
		),
	);
};

/**
 * Restarts an entry, then takes the instance list down too, so that only their
 * peers can confirm the liveness of the entries.
 */
const runWithoutList = async (
	environment: TestEnvironment,
	entries: Entry[],
	lengthMs: number,
) => {
	const [last] = entries.splice(-1);
	await stopEntry(environment, last!);
	const {entry} = await startEntry(environment, last!.id);
	environment.listState.isDown = true;
	const [registered, sponsored] = await Promise.all([
		runPhase(entries, lengthMs),
		runPhase([entry], lengthMs),
	]);
	environment.listState.isDown = false;
	entries.push(entry);
	return {registered, sponsored};
};

/** Runs entries through an outage and restarts some during it. */
export const runDaemons = async (
	options: DaemonsOptions,
): Promise<DaemonsReport> => {
	const environment = await startTestEnvironment(options.seed);
	const entries: Entry[] = [];
	for (const id of entryIds) {
		const {entry} = await startEntry(environment, id);
		entries.push(entry);
	}

	await waitForSnapshot(environment);
	const before = await runPhase(entries, options.healthyMs);
	environment.faults.set({isDown: true});
	const [last] = entries.splice(-1);
	const duringCalls = runPhase(entries, options.outageMs);
	await wait(options.outageMs / 4);
	await stopEntry(environment, last!);
	const again = await startEntry(environment, last!.id);
	const during = await duringCalls;
	entries.push(again.entry);
	environment.faults.set({isDown: false});
	const returnedAt = now();
	const after = await runPhase(entries, options.healthyMs);
	const mostCallsInSecondOnReturn = getPeakPerSecond(
		environment.arrivals,
		returnedAt,
	);
	environment.faults.set({isDown: true});
	const listDown = await runWithoutList(
		environment,
		entries,
		options.outageMs / 2,
	);
	for (const entry of entries) {
		await stopEntry(environment, entry);
	}

	const alone = await startEntry(environment, 'e9');
	const origins = [again, alone].map(({entry}) =>
		entry.daemon.agreement.follower.getOrigin(),
	);
	await stopEntry(environment, alone.entry);
	await environment.server.close();
	await environment.embedded.close();
	return {
		before,
		during,
		after,
		listDown,
		startFromPeerMs: again.servesAfterMs,
		startFromSnapshotMs: alone.servesAfterMs,
		origins,
		mostCallsInSecondOnReturn,
	};
};

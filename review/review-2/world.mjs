/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no types of JavaScript here. */
/**
 * A small deployment for the scripts of cases: daemons of the deploy file as
 * processes, beside the project's own stand-ins of the platform.
 */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {
	closeSync,
	existsSync,
	mkdtempSync,
	openSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	createCallerConnection,
	createExecutor,
	createGangs,
	createOperator,
	createStore,
	fillInSettings,
	getEnvironment,
	readCommand,
	startMachineList,
} from '../../platform/dist/stand-ins/index.js';

export const root = path.resolve(
	path.dirname(fileURLToPath(import.meta.url)),
	'../..',
);

/** Exit codes of a script. */
export const verdicts = {held: 0, broken: 1, notRun: 2};

/** False for the same play without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const host = '127.0.0.1';

const standbyPool = 'reserve';

const ports = {callers: 8624, ready: 8622, peers: 7060, metrics: 9464};

const isFree = async (address, port) =>
	new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});

/** Finds loopback addresses on which nothing listens, one a daemon. */
const findAddresses = async (count) => {
	for (;;) {
		const network = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
		const addresses = Array.from(
			{length: count},
			(_, index) => `${network}.${index + 1}`,
		);
		const areFree = await Promise.all(
			addresses.flatMap((address) =>
				Object.values(ports).map(async (port) => isFree(address, port)),
			),
		);
		if (areFree.every(Boolean)) {
			return addresses;
		}
	}
};

/** Records what was sent, answered and run, with times in milliseconds. */
export const createRecord = () => {
	const startedAt = performance.now();
	const events = [];
	const now = () => performance.now() - startedAt;
	return {
		events,
		now,
		note(event) {
			events.push({atMs: Math.round(now()), ...event});
		},
		write(file) {
			writeFileSync(
				file,
				events.map((event) => `${JSON.stringify(event)}\n`).join(''),
			);
		},
	};
};

const createDaemon = ({
	name,
	ip,
	folder,
	storeAddress,
	machinesAddress,
	note,
}) => {
	const settingsFile = path.join(folder, `${name}.toml`);
	let child;
	let isEnding = false;
	return {
		name,
		ip,
		address: `${ip}:${ports.callers}`,
		start() {
			writeFileSync(
				settingsFile,
				fillInSettings(root, {
					name,
					ip,
					callersPort: ports.callers,
					readyPort: ports.ready,
					peerPort: ports.peers,
					storeAddress,
					machinesAddress,
					memoryMb: 350,
				}),
			);
			const log = openSync(path.join(folder, `${name}.log`), 'a');
			const {program, args} = readCommand(root);
			const started = spawn(program, args, {
				cwd: root,
				env: getEnvironment(settingsFile, folder),
				stdio: ['ignore', log, log],
			});
			closeSync(log);
			isEnding = false;
			child = started;
			note({kind: 'daemon started', daemon: name});
			started.once('exit', (code, signal) => {
				note({kind: 'daemon ended', daemon: name, code, signal, isEnding});
				if (child === started) {
					child = undefined;
				}
			});
		},
		isRunning: () => child !== undefined,
		signal(signal) {
			note({kind: 'signal', daemon: name, signal});
			child?.kill(signal);
		},
		async kill() {
			const ended = child;
			if (ended) {
				isEnding = true;
				const exit = new Promise((resolve) => {
					ended.once('exit', resolve);
				});
				ended.kill('SIGCONT');
				ended.kill('SIGKILL');
				await exit;
			}
		},
		async isReady() {
			try {
				const res = await fetch(
					`http://${ip}:${ports.ready}/gullstand/readyz`,
					{
						signal: AbortSignal.timeout(1000),
					},
				);
				return res.status === 200;
			} catch {
				return false;
			}
		},
	};
};

/** Waits until a condition holds; false if it does not in time. */
export const waitUntil = async (holds, maxMs, stepMs = 50) => {
	const until = performance.now() + maxMs;
	while (performance.now() < until) {
		if (await holds()) {
			return true;
		}

		await delay(stepMs);
	}

	return false;
};

/** Creates the deployment; nothing runs before `start`. */
export const createWorld = async ({
	daemons: daemonCount = 3,
	services,
	cpu = 32_000,
	memMb = 64_000,
	hasBorn = true,
	hasStandby = false,
	clockRate = 1,
}) => {
	const record = createRecord();
	const {note, now} = record;
	const folder = mkdtempSync(path.join(tmpdir(), 'gullstand-review-'));
	const store = createStore({host, note, now, random: Math.random});
	const gangs = createGangs();
	const operator = createOperator(store, note, [
		...services.map(({name}) => ({
			name,
			guardsCapacity: false,
			isStandby: false,
		})),
		...(hasStandby
			? [{name: standbyPool, guardsCapacity: false, isStandby: true}]
			: []),
	]);
	const executors = services.flatMap(({name, executors: count}) =>
		Array.from({length: count}, (_, index) =>
			createExecutor({
				id: `i-${name}-${index}`,
				service: name,
				host,
				rack: `r1-${Math.floor(index / 4)}`,
				cpu,
				memMb,
				guardsCapacity: () => false,
				standbyPool,
				hasBorn,
				port: 0,
				clockRate,
				store,
				gangs,
				note,
				now,
				getLateMs: () => 2000,
				reachesStore: () => true,
			}),
		),
	);
	const machines = await startMachineList({
		host,
		store,
		note,
		pools: [...services.map(({name}) => name), standbyPool],
		listExecutors: () => executors,
	});
	const daemons = [];
	const addresses = await findAddresses(daemonCount);
	for (const [index, ip] of addresses.entries()) {
		const name = `front-${index + 1}`;
		const listener = await store.listen(name);
		daemons.push(
			createDaemon({
				name,
				ip,
				folder,
				storeAddress: listener.address,
				machinesAddress: machines.address,
				note,
			}),
		);
	}

	const connections = new Map();
	const getConnection = ({address}) => {
		const known = connections.get(address) ?? createCallerConnection(address);
		connections.set(address, known);
		return known;
	};

	return {
		record,
		folder,
		store,
		operator,
		executors,
		daemons,
		/** Starts all; resolves to whether all daemons are ready. */
		async start() {
			operator.configure(
				services.map(({name}) => ({pathPrefix: `/${name}/`, service: name})),
			);
			await Promise.all(executors.map(async (each) => each.open()));
			for (const each of daemons) {
				each.start();
			}

			return waitUntil(async () => {
				const ready = await Promise.all(
					daemons.map(async (each) => each.isReady()),
				);
				return ready.every(Boolean);
			}, 20_000);
		},
		/** Returns the daemon that owns a service, by the lease in the store. */
		findOwner(service) {
			const lease = store.get('lease', `service/${service}`, 'lease');
			return daemons.find(({name}) => name === lease?.holder?.entry);
		},
		/** Calls a daemon as a client, and records the call and its answer. */
		async call(daemon, method, target, body) {
			note({kind: 'call', daemon: daemon.name, method, target, body});
			const answer = await getConnection(daemon).call(method, target, body);
			note({
				kind: 'answer',
				daemon: daemon.name,
				method,
				target,
				answer: answer.kind,
				status: answer.status,
				body: answer.body,
			});
			return answer;
		},
		async stop(recordFile) {
			for (const each of connections.values()) {
				each.close();
			}

			await Promise.all(daemons.map(async (each) => each.kill()));
			for (const each of executors) {
				each.close();
			}

			machines.close();
			store.close();
			record.write(recordFile);
			if (process.env.KEEP !== '1') {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
};

/** Longest play, in milliseconds. */
const maxPlayMs = 117_000;

/** Runs a case and ends the process with its verdict. */
export const runCase = async (options, play) => {
	const folder = path.resolve(process.argv[2] ?? '.');
	if (!existsSync(path.join(root, 'target/gullstandd.cjs'))) {
		console.error('no bundle under target/: run the build of the deploy file');
		process.exitCode = verdicts.notRun;
		return;
	}

	const world = await createWorld(options);
	const end = async (verdict) => {
		world.record.note({kind: 'verdict', verdict});
		await world.stop(path.join(folder, 'record.txt'));
		console.log(`verdict ${verdict}`);
		process.exit(verdict); // eslint-disable-line unicorn/no-process-exit
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			void end(verdicts.notRun); // eslint-disable-line no-void
		});
	}

	setTimeout(() => {
		console.error('the play takes too long');
		void end(verdicts.notRun); // eslint-disable-line no-void
	}, maxPlayMs);
	let verdict = verdicts.notRun;
	try {
		verdict = (await world.start()) ? await play(world) : verdicts.notRun;
	} catch (err) {
		console.error(err);
	}

	await end(verdict);
};

/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * A small deployment for one case: the project's daemons as processes, started
 * with the command of the deploy file on loopback addresses, beside the
 * project's stand-ins of the platform.
 */
import {spawn} from 'node:child_process';
import {randomBytes, randomInt} from 'node:crypto';
import {
	closeSync,
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createCallerConnection,
	createExecutor,
	createGangs,
	createStore,
	encodePayload,
	fillInSettings,
	getEnvironment,
	readCommand,
	startMachineList,
} from '../../platform/dist/stand-ins/index.js';

export const root = path.resolve(import.meta.dirname, '../..');

export const exitCodes = {held: 0, broken: 1, couldNotRun: 2};

// Node would end with the code that stands for a broken rule.
process.on('uncaughtException', (err) => {
	console.error(err);
	process.exit(exitCodes.couldNotRun);
});

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const ports = {callers: 8624, ready: 8622, peers: 7060, metrics: 9464};

const standInHost = '127.0.0.1';

export const queueHost = 'desk.example';

export const newJobId = () => randomBytes(8).toString('hex');

/** Records what happened, in milliseconds since the start. */
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
		write(folder, verdict) {
			const lines = events.map((event) => JSON.stringify(event));
			writeFileSync(
				path.join(folder, 'record.txt'),
				[...lines, verdict, ''].join('\n'),
			);
		},
	};
};

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

export const waitUntil = async (holds, maxMs) => {
	const untilMs = performance.now() + maxMs;
	while (performance.now() < untilMs) {
		if (await holds()) {
			return true;
		}

		await delay(50);
	}

	return false;
};

const isReady = async (ip) =>
	new Promise((resolve) => {
		const req = request(
			{
				host: ip,
				port: ports.ready,
				path: '/gullstand/readyz',
				timeout: 1000,
				agent: false,
			},
			(res) => {
				res.resume();
				resolve(res.statusCode === 200);
			},
		);
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(false);
		});
		req.end();
	});

/** A daemon of the deploy file as a process. */
const createDaemon = ({folder, record, addresses, adaptSettings}) => {
	const {name, ip} = addresses;
	const settingsFile = path.join(folder, `${name}.toml`);
	let child;
	return {
		name,
		ip,
		address: `${ip}:${ports.callers}`,
		isReady: async () => isReady(ip),
		isRunning: () => child !== undefined,
		readLog: () => readFileSync(path.join(folder, `${name}.log`), 'utf8'),
		start() {
			writeFileSync(
				settingsFile,
				adaptSettings(fillInSettings(root, addresses), name),
			);
			const log = openSync(path.join(folder, `${name}.log`), 'a');
			const {program, args} = readCommand(root);
			const started = spawn(program, args, {
				cwd: root,
				env: getEnvironment(settingsFile, folder),
				stdio: ['ignore', log, log],
			});
			closeSync(log);
			child = started;
			record.note({kind: 'daemon started', daemon: name, pid: started.pid});
			started.once('exit', (code, signal) => {
				record.note({kind: 'daemon ended', daemon: name, code, signal});
				if (child === started) {
					child = undefined;
				}
			});
		},
		signal(signal) {
			record.note({kind: 'signal', daemon: name, signal});
			child?.kill(signal);
		},
		async kill() {
			const ending = child;
			if (ending) {
				ending.kill('SIGCONT');
				ending.kill('SIGKILL');
				await waitUntil(() => child !== ending, 5000);
			}
		},
	};
};

/**
 * Creates the deployment. `services` are `{name, executors}`, `queues` the
 * routes of the configuration. `adaptSettings` changes the settings of a daemon,
 * and `openMachinesPath` puts a proxy before the machine list. Daemons beyond
 * `countAtStart` are started by the case. `lateMs` is the delay of commands that
 * executors carry out late.
 */
export const createWorld = async ({
	daemons: daemonCount,
	services,
	queues,
	cpu = 32_000,
	memMb = 65_536,
	hasBorn = true,
	lateMs = 4000,
	adaptSettings = (text) => text,
	openMachinesPath = async (address) => ({address, close() {}}),
	countAtStart = daemonCount,
}) => {
	const record = createRecord();
	const {note, now} = record;
	const folder = mkdtempSync(path.join(tmpdir(), 'gullstand-review-3-'));
	const store = createStore({
		host: standInHost,
		note,
		now,
		random: Math.random,
	});
	const gangs = createGangs();
	const executors = services.flatMap(({name, executors: count}) =>
		Array.from({length: count}, (_, index) =>
			createExecutor({
				id: `i-${name}-${index}`,
				service: name,
				host: standInHost,
				rack: `r1-${index % 2}`,
				cpu,
				memMb,
				guardsCapacity: () => false,
				standbyPool: 'standby',
				hasBorn,
				port: 0,
				clockRate: 1,
				store,
				gangs,
				note,
				now,
				getLateMs: () => lateMs,
				reachesStore: () => true,
			}),
		),
	);
	const machines = await startMachineList({
		host: standInHost,
		store,
		note,
		pools: services.map(({name}) => name),
		listExecutors: () => executors,
	});
	const machinesPath = await openMachinesPath(machines.address);
	const ips = await findAddresses(daemonCount);
	const daemons = [];
	for (const [index, ip] of ips.entries()) {
		const name = `front-${index + 1}`;
		const listener = await store.listen(name);
		daemons.push(
			createDaemon({
				folder,
				record,
				adaptSettings,
				addresses: {
					name,
					ip,
					callersPort: ports.callers,
					readyPort: ports.ready,
					peerPort: ports.peers,
					storeAddress: listener.address,
					machinesAddress: machinesPath.address,
					memoryMb: 350,
				},
			}),
		);
	}

	let version = 0;
	const configure = (routes) => {
		version += 3;
		store.put('op', 'config', {
			version,
			routes: routes.map((route) => ({
				host: queueHost,
				kind: 'unsafe',
				timeoutMs: 3000,
				targetLatencyMs: 600,
				priority: 0,
				maxAttempts: 3,
				stretch: 1.6,
				...route,
			})),
			services: services.map(({name}) => ({
				name,
				healthPath: '/healthz',
				rejectsOverload: false,
				standby: false,
			})),
			limits: {maxBodyBytes: 262_144},
		});
		note({kind: 'configuration', version});
	};

	return {
		record,
		folder,
		store,
		executors,
		machines,
		daemons,
		configure,
		async start() {
			configure(queues);
			await Promise.all(executors.map(async (each) => each.open()));
			const first = daemons.slice(0, countAtStart);
			for (const each of first) {
				each.start();
			}

			return waitUntil(async () => {
				const ready = await Promise.all(
					first.map(async (each) => each.isReady()),
				);
				return ready.every(Boolean);
			}, 30_000);
		},
		async stop() {
			await Promise.all(daemons.map(async (each) => each.kill()));
			for (const each of executors) {
				each.close();
			}

			machinesPath.close();
			machines.close();
			store.close();
			if (process.env.KEEP === '1') {
				console.log(folder);
			} else {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
};

/** A client of the daemons. */
export const createClient = (world) => {
	const {record, daemons} = world;
	return {
		async call(method, jobPath, {body, daemon = daemons[0]} = {}) {
			const connection = createCallerConnection(daemon.address);
			const answer = await connection.call(method, jobPath, body);
			connection.close();
			record.note({
				kind: 'call',
				method,
				path: jobPath,
				daemon: daemon.name,
				answer,
			});
			return answer;
		},
	};
};

/** A job of one step, whose payload tells the stand-ins what its tasks do. */
export const createJob = (step) => {
	const {count, cpu, memMb, workMs} = step;
	return {
		spec: encodePayload([{count, cpu, memMb, workMs, ...step.work}]),
		steps: [{count, cpu, memMb, estimateMs: workMs, ...step.fields}],
	};
};

/**
 * Runs a case and ends the process with its exit code. Its record is written to
 * the folder that the command line names.
 */
export const runCase = async (world, play) => {
	const folder = process.argv[2] ?? world.folder;
	let code = exitCodes.couldNotRun;
	let verdict = 'could not run';
	process.once('SIGTERM', async () => {
		await world.stop();
		process.exit(exitCodes.couldNotRun);
	});
	try {
		if (await world.start()) {
			const broken = await play();
			code = broken === undefined ? exitCodes.held : exitCodes.broken;
			verdict = broken === undefined ? 'the rule held' : `broken: ${broken}`;
		} else {
			verdict = 'could not run: the daemons are not ready';
		}
	} catch (err) {
		verdict = `could not run: ${err.stack}`;
	} finally {
		await world.stop();
	}

	world.record.write(folder, verdict);
	console.log(verdict);
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};

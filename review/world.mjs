/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no type information for JavaScript where CI=true is set. */
/**
 * Starts the daemons of the deploy file as processes, with settings like those
 * of a small deployment, beside stand-ins of the platform, the executors and
 * the clients. All addresses are loopback addresses.
 */
import {spawn} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
	openSync,
} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {createExecutor} from './executor.mjs';
import {createStore} from './store.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');

const host = '127.0.0.1';

/** The time budget of a client. */
const callTimeoutMs = 3000;

/* eslint-disable camelcase -- names of the platform's settings */
/** Bounds of the small deployment `harrowby-ops`. */
export const bounds = {
	contactMs: 3000,
	ackMs: 4000,
	drainMs: 2000,
	graceS: 6,
	configApplyMs: 2000,
	holdMaxMs: 10_000,
	stopTimeoutMs: 200,
	cancel_ms: 3000,
	visible_ms: 3000,
	finish_s: 14,
	status_s: 120,
	leaseMs: 3000,
};
/* eslint-enable camelcase */

const getField = (fields, [name, ...rest]) =>
	rest.length === 0 ? fields?.[name] : getField(fields?.[name], rest);

/** Fills in a template as DEPLOY.md describes; only what the file needs. */
const fillIn = (template, fields) => {
	const find = (name) =>
		name === '.' ? fields['.'] : getField(fields, name.split('.'));
	return template
		.replaceAll(
			/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/gv,
			(all, name, inner) => {
				const value = find(name);
				return value === undefined || value === false
					? ''
					: fillIn(inner, {...fields, '.': value});
			},
		)
		.replaceAll(
			/\{\{([\w.]+)\|json\}\}/gv,
			(all, name) => JSON.stringify(find(name)) ?? '',
		);
};

const findFreePort = async (address) =>
	new Promise((resolve, reject) => {
		const server = createTcpServer();
		server.once('error', reject);
		server.listen(0, address, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});

const isFree = async (address, port) =>
	new Promise((resolve) => {
		const server = createTcpServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});

/** The port of the metrics, which is fixed in the program. */
const metricsPort = 9464;

/**
 * Finds three bytes of loopback addresses that no other case uses: since the
 * port of the metrics is fixed, each daemon has an address of its own.
 */
const findNetwork = async (count) => {
	for (;;) {
		const pick = () => 10 + Math.floor(Math.random() * 240);
		const found = `127.${pick()}.${pick()}`;
		const addresses = Array.from(
			{length: count},
			(_, index) => `${found}.${index + 1}`,
		);
		const areFree = await Promise.all(
			addresses.map(async (each) => isFree(each, metricsPort)),
		);
		if (areFree.every(Boolean)) {
			return found;
		}
	}
};

/** The command of the deploy file. */
const readCommand = () => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const [, run] = /^run = "([^"]+)"$/mv.exec(text);
	return run.split(' ');
};

/**
 * Creates a world. `services` are names with a number of executors each;
 * `routes` are queues. `getWork` says what a task does.
 */
export const createWorld = ({
	directory,
	daemonCount,
	services,
	routes,
	getWork,
	cpu = 32_000,
}) => {
	const recordFile = path.join(directory, 'record.txt');
	writeFileSync(recordFile, '');
	const temporary = mkdtempSync(path.join(tmpdir(), 'gullstand-review-'));
	const beganAt = performance.now();
	const events = [];
	const note = (event) => {
		const atMs = Math.round(performance.now() - beganAt);
		events.push({atMs, ...event});
		appendFileSync(recordFile, `${JSON.stringify({atMs, ...event})}\n`);
	};

	const store = createStore({host, note});
	const daemons = new Map();
	const executors = [];
	const agents = new Map();
	let version = 0;
	let cloud;
	let network;

	const writeConfiguration = (list) => {
		version += 3;
		store.put('op', 'config', {
			version,
			routes: list.map((route) => ({
				host: 'desk.example',
				kind: 'unsafe',
				timeoutMs: 3000,
				targetLatencyMs: 600,
				priority: 0,
				maxAttempts: 3,
				stretch: 1.6,
				...route,
			})),
			services: Object.keys(services).map((name) => ({
				name,
				healthPath: '/healthz',
				maxConns: 64,
				protocol: 'h1',
				tls: false,
				rejectsOverload: false,
				standby: false,
			})),
			limits: {
				maxHeaderBytes: 16_384,
				maxBodyBytes: 262_144,
				headerTimeoutMs: 3000,
				idleTimeoutMs: 15_000,
			},
		});
		note({
			kind: 'manifest acknowledged',
			version,
			routes: list.map(({name, service}) => `${name} to ${service}`),
		});
	};

	const startCloud = async () => {
		cloud = createServer((req, res) => {
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(
				JSON.stringify({
					machines: executors
						.filter(({isGone}) => !isGone)
						.map((each) => ({
							machineId: `m-${each.id}`,
							pool: each.service,
							state: 'up',
							zone: 'zone-a',
							labels: ['a', each.rack],
							capacity: {cpu, memMb: 65_536, gpu: 0},
							id: each.id,
						})),
					nextToken: null,
				}),
			);
		});
		await new Promise((resolve) => {
			cloud.listen(0, host, resolve);
		});
		return `${host}:${cloud.address().port}`;
	};

	const getSettings = ({name, ip, ports, storeAddress, cloudAddress}) => ({
		nodeName: name,
		zone: 'zone-a',
		region: 'region-a',
		ip,
		listen: {front: `${ip}:${ports[0]}`, readyAddr: `${ip}:${ports[1]}`},
		portRange: [ports[2], ports[2]],
		limits: {memoryMb: 350, cores: 1, cpuShare: 0.675, linkMbps: 1000},
		platform: {address: storeAddress, readsPerS: 2000, writesPerS: 800},
		cloud: {address: cloudAddress},
		bounds,
		contracts: [
			'base',
			'drain',
			'config',
			'cost',
			'recover',
			'sched',
			'platform',
			'upkeep',
			'sharing',
		],
	});

	const startDaemon = async (number, cloudAddress) => {
		const ip = `${network}.${number}`;
		const name = `front-${number}`;
		const ports = [
			await findFreePort(ip),
			await findFreePort(ip),
			await findFreePort(ip),
		];
		const storeAddress = await store.listen(name);
		const settings = fillIn(
			readFileSync(path.join(root, 'deploy/settings.toml'), 'utf8'),
			getSettings({name, ip, ports, storeAddress, cloudAddress}),
		);
		const file = path.join(temporary, `${name}.toml`);
		writeFileSync(file, settings);
		const [program, ...args] = readCommand();
		const log = openSync(path.join(temporary, `${name}.log`), 'a');
		const child = spawn(program, args, {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: temporary, GULLSTAND_NODE_FILE: file},
			stdio: ['ignore', log, log],
		});
		const entry = {
			name,
			child,
			front: {host: ip, port: ports[0]},
			ready: {host: ip, port: ports[1]},
		};
		child.on('exit', (code, signal) => {
			note({kind: 'daemon ended', daemon: name, code, signal});
		});
		daemons.set(name, entry);
		agents.set(name, new Agent({keepAlive: true, maxSockets: 64}));
	};

	/** One call to a daemon; resolves to status and body, or to no answer. */
	const call = async (daemon, method, target, body) =>
		new Promise((resolve) => {
			const {front} = daemons.get(daemon);
			const text = body === undefined ? '' : JSON.stringify(body);
			const req = request(
				{
					...front,
					method,
					path: target,
					agent: agents.get(daemon),
					timeout: callTimeoutMs,
					headers: {
						host: 'desk.example',
						'gullstand-deadline-ms': '3000',
						...(text === ''
							? {}
							: {
									'content-type': 'application/json',
									'content-length': String(
										new TextEncoder().encode(text).length,
									),
								}),
					},
				},
				(res) => {
					const chunks = [];
					res.on('data', (chunk) => chunks.push(chunk));
					res.on('end', () => {
						let value;
						try {
							value = JSON.parse(chunks.join(''));
						} catch {
							value = undefined;
						}

						resolve({
							status: res.statusCode,
							body: value,
							isReused: req.reusedSocket,
						});
					});
					res.on('error', () => {
						resolve({status: 0});
					});
				},
			);
			req.on('timeout', () => {
				req.destroy();
			});
			req.on('error', () => {
				resolve({status: 0});
			});
			req.end(text);
		});

	const isReady = async ({ready}) =>
		new Promise((resolve) => {
			const req = request(
				{...ready, path: '/gullstand/readyz', timeout: 1000},
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

	const waitUntil = async (condition, maxMs) => {
		const until = performance.now() + maxMs;
		while (performance.now() < until) {
			if (await condition()) {
				return true;
			}

			await delay(50);
		}

		return false;
	};

	return {
		store,
		executors,
		events,
		note,
		cpu,
		memMb: 65_536,
		call,
		writeConfiguration,
		waitUntil,
		temporary,
		names: () => [...daemons.keys()],
		getOwner: (shard) => store.get('lease', shard, 'lease')?.holder?.entry,
		signal(name, signal) {
			note({kind: 'signal', daemon: name, signal});
			daemons.get(name).child.kill(signal);
		},
		async start() {
			let count = 0;
			for (const [service, number] of Object.entries(services)) {
				for (let index = 0; index < number; index++) {
					const rack = `r${count % 2}-${Math.floor(index / 4)}`;
					const executor = createExecutor({
						id: `i-${service}-${index}`,
						service,
						host,
						rack,
						cpu,
						store,
						note,
						getWork,
					});
					executor.rack = rack;
					await executor.open();
					executors.push(executor);
				}

				count += 1;
			}

			writeConfiguration(routes);
			const cloudAddress = await startCloud();
			network = await findNetwork(daemonCount);
			for (let number = 1; number <= daemonCount; number++) {
				await startDaemon(number, cloudAddress);
			}

			const areReady = await waitUntil(async () => {
				const all = await Promise.all(
					[...daemons.values()].map(async (each) => isReady(each)),
				);
				const shards = [
					...Object.keys(services).map((name) => `service/${name}`),
					'control/fleet',
				];
				return (
					all.every(Boolean) &&
					shards.every((shard) => store.get('lease', shard, 'lease')?.holder)
				);
			}, 25_000);
			note({kind: areReady ? 'all daemons are ready' : 'daemons not ready'});
			return areReady;
		},
		isReady: async (name) => isReady(daemons.get(name)),
		async stop() {
			for (const {child} of daemons.values()) {
				child.kill('SIGKILL');
			}

			for (const each of executors) {
				each.close();
			}

			for (const agent of agents.values()) {
				agent.destroy();
			}

			cloud?.closeAllConnections();
			cloud?.close();
			store.close();
			if (!process.env.KEEP) {
				rmSync(temporary, {recursive: true, force: true});
			}
		},
	};
};

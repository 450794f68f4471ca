/** An executor that logs its runs and can hang, be lost or be rebooted. */
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as wait} from 'node:timers/promises';
import {answers} from '@gullstand/stand-in';
import {now, type OpenRun, type Recorder} from './recorder.js';

/** Length of an answer, in bytes. */
export const answerBytes = 256;

export type Executor = {
	readonly id: string;
	readonly availabilityZone: string;
	/** IP address and port. */
	readonly address: string;
	/** Stops all traffic on the connections that are open now. */
	readonly silence: () => void;
	/** Stops at once; if `isPlanned`, open runs are left without an end. */
	readonly stop: (isPlanned: boolean) => void;
	/** Listens again on the same port. */
	readonly listen: () => Promise<void>;
};

export type ExecutorOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly recorder: Recorder;
	/** Pool that a service belongs to. */
	readonly getPool: (service: string) => string;
	readonly drawWorkMs: () => number;
	/** True if the next request is refused without running. */
	readonly drawRefusal: () => boolean;
};

type State = {
	readonly options: ExecutorOptions;
	readonly sockets: Set<Socket>;
	readonly unresponsive: WeakSet<Socket>;
	readonly open: Set<OpenRun>;
};

const readHeader = (
	req: http.IncomingMessage,
	name: string,
): string | undefined => {
	const value = req.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
};

const startRun = ({options, open}: State, req: http.IncomingMessage) => {
	const service = req.url?.split('/', 2)[1] ?? '';
	const key = readHeader(req, 'idempotency-key');
	const run: OpenRun = {
		executor: options.id,
		requestId: readHeader(req, answers.requestIdHeader) ?? '',
		pool: options.getPool(service),
		...(key !== undefined && {key}),
		startedAt: now(),
	};
	options.recorder.runs.push(run);
	open.add(run);
	return run;
};

const handle = async (
	state: State,
	req: http.IncomingMessage,
	res: http.ServerResponse,
) => {
	const body = await text(req);
	const isUnresponsive = () => state.unresponsive.has(req.socket);
	if (isUnresponsive()) {
		return;
	}

	if (req.method === 'OPTIONS') {
		res.writeHead(204).end();
		return;
	}

	if (state.options.drawRefusal()) {
		res.writeHead(503, {[answers.refusalHeader]: '1'}).end();
		return;
	}

	const run = startRun(state, req);
	await wait(state.options.drawWorkMs());
	// A run that is no longer open ended with its process.
	if (!state.open.delete(run)) {
		return;
	}

	run.endedAt = now();
	if (!isUnresponsive()) {
		const proof = run.key ?? run.requestId;
		res.end(answers.createAnswer(proof, body, answerBytes));
	}
};

const createServer = (state: State): http.Server => {
	const server = http.createServer({keepAliveTimeout: 0, requestTimeout: 0});
	server.on('request', async (req, res) => {
		try {
			await handle(state, req, res);
		} catch {
			// A request that was interrupted while it was read gets no answer.
		}
	});
	server.on('connection', (socket: Socket) => {
		state.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			state.sockets.delete(socket);
		});
	});
	return server;
};

const stop = ({sockets, open}: State, isPlanned: boolean) => {
	for (const run of open) {
		if (!isPlanned) {
			run.endedAt = now();
		}
	}

	open.clear();
	for (const socket of sockets) {
		socket.destroy();
	}
};

/** Starts an executor on a free port of 127.0.0.1. */
export const startExecutor = async (
	options: ExecutorOptions,
): Promise<Executor> => {
	const state: State = {
		options,
		sockets: new Set(),
		unresponsive: new WeakSet(),
		open: new Set(),
	};
	const server = createServer(state);
	const listen = async (port: number) => {
		server.listen(port, '127.0.0.1');
		await once(server, 'listening');
		return (server.address() as AddressInfo).port;
	};

	const port = await listen(0);
	return {
		id: options.id,
		availabilityZone: options.availabilityZone,
		address: `127.0.0.1:${port}`,
		silence() {
			for (const socket of state.sockets) {
				state.unresponsive.add(socket);
			}
		},
		stop(isPlanned) {
			server.close();
			stop(state, isPlanned);
		},
		async listen() {
			if (!server.listening) {
				await listen(port);
			}
		},
	};
};

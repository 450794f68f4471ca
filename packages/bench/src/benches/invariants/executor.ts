/** An executor that logs every run, and can be silent, lost or rebooted. */
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as wait} from 'node:timers/promises';
import {answers} from '@gullstand/stand-in';
import {now, type OpenRun, type Recorder} from './recorder.js';

/** Length of an answer, in bytes. */
export const answerBytes = 256;

/** A running executor. */
export type Executor = {
	readonly id: string;
	readonly availabilityZone: string;
	/** IP number and port. */
	readonly address: string;
	/** Connections that are open now carry nothing any more. */
	readonly silence: () => void;
	/** Stops at once; `isPlanned` leaves open runs without an end. */
	readonly stop: (isPlanned: boolean) => void;
	/** Listens again on the same port. */
	readonly listen: () => Promise<void>;
};

/** What an executor is made of. */
export type ExecutorOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly recorder: Recorder;
	/** Pool that a service belongs to. */
	readonly getPool: (service: string) => string;
	readonly drawWorkMs: () => number;
	/** Whether the next request is refused, which runs nothing. */
	readonly drawRefusal: () => boolean;
};

type State = {
	readonly options: ExecutorOptions;
	readonly sockets: Set<Socket>;
	readonly silent: WeakSet<Socket>;
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
	const isSilent = () => state.silent.has(req.socket);
	if (isSilent()) {
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
	// A run that is not open any more ended with its process.
	if (!state.open.delete(run)) {
		return;
	}

	run.endedAt = now();
	if (!isSilent()) {
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
			// A request that was cut off while it was read gets no answer.
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
		silent: new WeakSet(),
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
				state.silent.add(socket);
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

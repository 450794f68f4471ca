/**
 * A stand-in for one executor of a service: an HTTP/1.1 server with slots, a
 * queue and injected faults. It records the id of every request that it ran, so
 * that tests and benches can check reported outcomes.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import * as answers from './answer.js';

/** Fault of an executor. A share is a fraction of its requests, in [0, 1]. */
export type Fault =
	| {readonly kind: 'none'}
	| {readonly kind: 'slow'; readonly factor: number}
	/** Resets the connection after running the request. */
	| {readonly kind: 'reset'; readonly share: number}
	/** Sends half of the answer, then closes the connection gracefully. */
	| {
			readonly kind: 'half';
			readonly share: number;
			readonly framing: 'length' | 'chunked';
	  }
	/** Currently open connections never answer again; new ones work. */
	| {readonly kind: 'silent-old'}
	/** Accepts connections, but never answers. */
	| {readonly kind: 'hang'}
	/** Refuses requests without running them. */
	| {readonly kind: 'refuse'; readonly share: number}
	/** Stops listening: resets connections and refuses new ones. */
	| {readonly kind: 'gone'};

/** Options of one executor. */
export type ExecutorOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	/** Returns a random service time, in milliseconds. */
	readonly drawServiceMs: () => number;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
	/** Idle time until it closes a connection, in milliseconds; 0 for never. */
	readonly keepAliveMs?: number;
};

/** A running stand-in executor. */
export type StandInExecutor = {
	readonly id: string;
	readonly availabilityZone: string;
	/** IP address and port. */
	readonly address: string;
	/** Ids of the requests that it ran, in order. */
	readonly runs: readonly string[];
	/** Ids of the requests received on an unresponsive connection. */
	readonly unanswered: readonly string[];
	/** Maximum numbers of concurrent connections and running requests. */
	readonly peaks: {connections: number; running: number};
	readonly setFault: (fault: Fault) => Promise<void>;
	readonly close: () => Promise<void>;
};

type Work = {
	readonly id: string;
	readonly body: string;
	readonly req: http.IncomingMessage;
	readonly res: http.ServerResponse;
};

type State = {
	readonly options: ExecutorOptions;
	readonly server: http.Server;
	readonly sockets: Set<Socket>;
	readonly unresponsive: Set<Socket>;
	readonly queue: Set<Work>;
	readonly runs: string[];
	readonly unanswered: string[];
	readonly peaks: {connections: number; running: number};
	fault: Fault;
	running: number;
};

const defaultAnswerBytes = 256;

/** Lets the first half reach the caller, in milliseconds. */
const halfPauseMs = 30;

const isSelected = (state: State, share: number): boolean =>
	state.options.random() < share;

/**
 * Resets a connection. Node 20 never closes the handle of a socket that is reset
 * during its shutdown, which would keep the thread alive.
 */
const reset = (socket: Socket): void => {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
};

const sendWhole = (res: http.ServerResponse, answer: Buffer): void => {
	// Chooses the framing by the checksum, so that both are always in use.
	if (answer[0] !== undefined && answer[0] % 2 === 0) {
		res.setHeader('content-length', answer.length);
		res.end(answer);
		return;
	}

	const middle = Math.floor(answer.length / 2);
	res.write(answer.subarray(0, middle));
	res.end(answer.subarray(middle));
};

const sendHalf = (
	{req, res}: Work,
	answer: Buffer,
	framing: 'length' | 'chunked',
): void => {
	if (framing === 'length') {
		res.setHeader('content-length', answer.length);
	}

	res.write(answer.subarray(0, Math.floor(answer.length / 2)), () => {
		setTimeout(() => {
			req.socket.end();
		}, halfPauseMs);
	});
};

const sendAnswer = (state: State, work: Work): void => {
	const {req, res, id, body} = work;
	if (state.unresponsive.has(req.socket) || state.fault.kind === 'hang') {
		return;
	}

	const requestedBytes = Number(req.headers[answers.answerBytesHeader]);
	const bytes = requestedBytes > 0 ? requestedBytes : defaultAnswerBytes;
	const answer = answers.createAnswer(id, body, bytes);
	const {fault} = state;
	if (fault.kind === 'reset' && isSelected(state, fault.share)) {
		reset(req.socket);
	} else if (fault.kind === 'half' && isSelected(state, fault.share)) {
		sendHalf(work, answer, fault.framing);
	} else {
		sendWhole(res, answer);
	}
};

const startWork = (state: State, work: Work): void => {
	const factor = state.fault.kind === 'slow' ? state.fault.factor : 1;
	state.running += 1;
	state.peaks.running = Math.max(state.peaks.running, state.running);
	state.runs.push(work.id);
	setTimeout(() => {
		state.running -= 1;
		sendAnswer(state, work);
		startNext(state);
	}, state.options.drawServiceMs() * factor);
};

const startNext = (state: State): void => {
	for (const work of state.queue) {
		if (state.running >= state.options.slots) {
			return;
		}

		state.queue.delete(work);
		startWork(state, work);
	}
};

const refuse = (res: http.ServerResponse): void => {
	res.writeHead(503, {[answers.refusalHeader]: '1'}).end();
};

const handleRequest = async (
	state: State,
	req: http.IncomingMessage,
	res: http.ServerResponse,
): Promise<void> => {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Buffer);
	}

	const {fault} = state;
	const id = String(req.headers[answers.requestIdHeader]);
	if (state.unresponsive.has(req.socket)) {
		state.unanswered.push(id);
		return;
	}

	if (fault.kind === 'hang') {
		return;
	}

	if (req.method === 'OPTIONS') {
		res.writeHead(204).end();
		return;
	}

	if (fault.kind === 'refuse' && isSelected(state, fault.share)) {
		refuse(res);
		return;
	}

	const body = Buffer.concat(chunks).toString();
	const work = {id, body, req, res};
	state.queue.add(work);
	res.once('close', () => {
		state.queue.delete(work);
	});
	startNext(state);
};

const tryHandleRequest = async (
	...request: Parameters<typeof handleRequest>
): Promise<void> => {
	try {
		await handleRequest(...request);
	} catch {
		// The request was cut off while it was read: nobody awaits an answer.
	}
};

const trackSocket = (state: State, socket: Socket): void => {
	state.sockets.add(socket);
	const {peaks, sockets} = state;
	peaks.connections = Math.max(peaks.connections, sockets.size);
	socket.on('error', () => undefined);
	socket.once('close', () => {
		state.sockets.delete(socket);
		state.unresponsive.delete(socket);
	});
};

const listen = async (server: http.Server, port: number): Promise<number> =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', () => {
			server.off('error', reject);
			resolve((server.address() as AddressInfo).port);
		});
	});

const stop = async (state: State): Promise<void> =>
	new Promise((resolve) => {
		state.server.close(() => {
			resolve();
		});
		for (const socket of state.sockets) {
			reset(socket);
		}
	});

const setFault = async (
	state: State,
	fault: Fault,
	port: number,
): Promise<void> => {
	state.fault = fault;
	if (fault.kind === 'silent-old') {
		for (const socket of state.sockets) {
			state.unresponsive.add(socket);
		}
	}

	if (fault.kind === 'gone' && state.server.listening) {
		state.queue.clear();
		await stop(state);
	} else if (fault.kind !== 'gone' && !state.server.listening) {
		await listen(state.server, port);
	}
};

/** Starts an executor on a free port of 127.0.0.1. */
export const startExecutor = async (
	options: ExecutorOptions,
): Promise<StandInExecutor> => {
	const server = http.createServer({
		keepAliveTimeout: options.keepAliveMs ?? 0,
		connectionsCheckingInterval: 1000,
		requestTimeout: 0,
	});
	const state: State = {
		options,
		server,
		sockets: new Set(),
		unresponsive: new Set(),
		queue: new Set(),
		runs: [],
		unanswered: [],
		peaks: {connections: 0, running: 0},
		fault: {kind: 'none'},
		running: 0,
	};
	server.on('connection', (socket: Socket) => {
		trackSocket(state, socket);
	});
	server.on('request', (req, res) => {
		void tryHandleRequest(state, req, res);
	});
	const port = await listen(server, 0);
	return {
		id: options.id,
		availabilityZone: options.availabilityZone,
		address: `127.0.0.1:${port}`,
		runs: state.runs,
		unanswered: state.unanswered,
		peaks: state.peaks,
		setFault: async (fault) => setFault(state, fault, port),
		close: async () => setFault(state, {kind: 'gone'}, port),
	};
};

/** Sets one fault on every executor of an availability zone. */
export const setZoneFault = async (
	executors: readonly StandInExecutor[],
	availabilityZone: string,
	fault: Fault,
): Promise<void> => {
	await Promise.all(
		executors
			.filter((each) => each.availabilityZone === availabilityZone)
			.map(async (each) => each.setFault(fault)),
	);
};

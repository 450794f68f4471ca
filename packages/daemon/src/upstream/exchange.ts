/**
 * Sends one request on one connection and reads its answer. An answer is
 * complete only if its full length or its last chunk was received. Answers up
 * to `maxBufferedBytes` are buffered until complete; larger ones are streamed,
 * and the stream fails if the answer is truncated.
 */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {errors, type Dispatcher} from 'undici';
import type * as core from '@gullstand/core';
import {removeConnectionHeaders} from '../http/connection-headers.js';
import type {Connection} from './connection.js';
import type {Headers, UpstreamConfig, UpstreamRequest} from './types.js';

/** An answer with a buffered or a streamed body. */
export type Answer = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: Uint8Array | Readable;
};

/** How the exchange ended; also reported when an answer starts to stream. */
export type ExchangeEnd = {
	readonly end: core.attemptOutcome.AttemptEnd;
	readonly answer?: Answer;
};

/** Callbacks of an exchange to its owner. */
export type ExchangeEvents = {
	/** Called once, unless the exchange was aborted. */
	readonly onEnd: (end: ExchangeEnd) => void;
	/** Called once, when the connection is reusable (`whole`) or unusable. */
	readonly onFree: (whole: boolean) => void;
};

/** A running exchange. */
export type Exchange = {
	/** Bytes of the request that have been written to the socket. */
	readonly getBytesSent: () => number;
	/** Ends the exchange without `onEnd`; the connection becomes unusable. */
	readonly abort: () => void;
};

type State = {
	readonly connection: Connection;
	readonly cfg: UpstreamConfig;
	readonly clock: () => number;
	readonly events: ExchangeEvents;
	readonly bytesBefore: number;
	controller?: Dispatcher.DispatchController;
	status: number;
	headers: Headers;
	chunks: Buffer[];
	bufferedBytes: number;
	stream?: Readable;
	ended: boolean;
	freed: boolean;
};

const getBytesSent = ({connection, bytesBefore}: State): number =>
	connection.socket.bytesWritten - bytesBefore;

const finish = (state: State, end: ExchangeEnd): void => {
	if (!state.ended) {
		state.ended = true;
		state.events.onEnd(end);
	}
};

const releaseConnection = (state: State, whole: boolean): void => {
	if (!state.freed) {
		state.freed = true;
		state.events.onFree(whole);
	}
};

const createAnswered = (
	state: State,
	body: Uint8Array | Readable,
): ExchangeEnd => {
	const {status, headers} = state;
	const headerNames = new Set(Object.keys(headers));
	return {
		end: {kind: 'answered', status, headerNames},
		answer: {status, headers: removeConnectionHeaders(headers), body},
	};
};

const isInvalidRequest = (err: Error): boolean =>
	err instanceof errors.InvalidArgumentError ||
	err instanceof errors.RequestContentLengthMismatchError;

const fail = (state: State, err: Error): void => {
	state.stream?.destroy(err);
	const bytesSent = getBytesSent(state);
	const invalid = bytesSent === 0 && isInvalidRequest(err);
	finish(state, {
		end: invalid ? {kind: 'invalid-request'} : {kind: 'broken', bytesSent},
	});
	releaseConnection(state, false);
};

const abort = (state: State): void => {
	state.ended = true;
	const reason = new errors.RequestAbortedError();
	state.controller?.abort(reason);
	state.stream?.destroy(reason);
	releaseConnection(state, false);
};

const startStream = (state: State): Readable => {
	const stream = new Readable({
		highWaterMark: state.cfg.maxBufferedBytes,
		read() {
			state.controller?.resume();
		},
		destroy(err, callback) {
			if (!state.freed) {
				abort(state);
			}

			callback(err);
		},
	});
	// Prevents an unhandled error event when nothing reads the stream.
	stream.on('error', () => undefined);
	for (const chunk of state.chunks) {
		stream.push(chunk);
	}

	state.chunks = [];
	return stream;
};

const handleChunk = (state: State, chunk: Buffer): void => {
	state.connection.provedAt = state.clock();
	if (state.stream !== undefined) {
		if (!state.stream.push(chunk)) {
			state.controller?.pause();
		}

		return;
	}

	state.chunks.push(chunk);
	state.bufferedBytes += chunk.length;
	if (state.bufferedBytes > state.cfg.maxBufferedBytes) {
		state.stream = startStream(state);
		state.controller?.pause();
		finish(state, createAnswered(state, state.stream));
	}
};

const handleEnd = (state: State): void => {
	if (state.connection.ended) {
		// Without a length or a last chunk, a truncated answer looks the same.
		fail(state, new Error('the answer ended with the connection'));
		return;
	}

	if (state.stream === undefined) {
		const body = Buffer.concat(state.chunks, state.bufferedBytes);
		finish(state, createAnswered(state, body));
	} else {
		// Released first, so that destroying the ended stream does not abort.
		releaseConnection(state, true);
		state.stream.push(null);
	}

	releaseConnection(state, true);
};

const createHandler = (state: State): Dispatcher.DispatchHandler => ({
	onRequestStart(controller) {
		state.controller = controller;
	},
	onResponseStart(_controller, status, headers) {
		state.connection.provedAt = state.clock();
		if (status >= 200) {
			state.status = status;
			state.headers = headers;
			// An announced close is not a fault of the executor.
			const {connection = ''} = headers;
			state.connection.retired ||= /\bclose\b/iv.test(String(connection));
		}
	},
	onResponseData(_controller, chunk) {
		handleChunk(state, chunk);
	},
	onResponseEnd() {
		handleEnd(state);
	},
	onResponseError(_controller, err) {
		fail(state, err);
	},
});

/** Sends a request on a connection without another exchange. */
export const startExchange = (
	connection: Connection,
	req: Pick<UpstreamRequest, 'method' | 'path' | 'headers' | 'body'>,
	{cfg, clock}: {readonly cfg: UpstreamConfig; readonly clock: () => number},
	events: ExchangeEvents,
): Exchange => {
	const state: State = {
		connection,
		cfg,
		clock,
		events,
		bytesBefore: connection.socket.bytesWritten,
		status: 0,
		headers: {},
		chunks: [],
		bufferedBytes: 0,
		ended: false,
		freed: false,
	};
	const {method, path, headers, body} = req;
	const dispatchedBody = body instanceof Readable ? body : (body ?? null);
	connection.client.dispatch(
		{method, path, headers, body: dispatchedBody},
		createHandler(state),
	);
	return {
		getBytesSent: () => getBytesSent(state),
		abort() {
			abort(state);
		},
	};
};

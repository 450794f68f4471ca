/**
 * One request and its answer on one connection. An answer counts as whole
 * only if its length or its last chunk was seen; up to a bound it is held
 * back until then, above the bound it streams and a cut becomes an error.
 */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {errors, type Dispatcher} from 'undici';
import type * as core from '@gullstand/core';
import {removeConnectionHeaders} from '../http/connection-headers.js';
import type {Connection} from './connection.js';
import type {Headers, UpstreamConfig, UpstreamRequest} from './types.js';

/** An answer, whole or as a stream. */
export type Answer = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: Uint8Array | Readable;
};

/** How the exchange ended, or that its answer streams from now on. */
export type ExchangeEnd = {
	readonly end: core.attemptOutcome.AttemptEnd;
	readonly answer?: Answer;
};

/** What the owner of the exchange is told. */
export type ExchangeEvents = {
	/** Once, unless aborted before. */
	readonly onEnd: (end: ExchangeEnd) => void;
	/** Once, when the connection is free again or broken for good. */
	readonly onFree: (whole: boolean) => void;
};

/** A running exchange. */
export type Exchange = {
	/** Bytes of the request handed to the socket so far. */
	readonly getBytesSent: () => number;
	/** Ends it without `onEnd`; the connection is broken for good. */
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
	held: number;
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

const free = (state: State, whole: boolean): void => {
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

const breakOff = (state: State, err: Error): void => {
	state.stream?.destroy(err);
	const bytesSent = getBytesSent(state);
	const invalid = bytesSent === 0 && isInvalidRequest(err);
	finish(state, {
		end: invalid ? {kind: 'invalid-request'} : {kind: 'broken', bytesSent},
	});
	free(state, false);
};

const abort = (state: State): void => {
	state.ended = true;
	const reason = new errors.RequestAbortedError();
	state.controller?.abort(reason);
	state.stream?.destroy(reason);
	free(state, false);
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
	// Whoever reads the stream sees the error; with no reader it is dropped.
	stream.on('error', () => undefined);
	for (const chunk of state.chunks) {
		stream.push(chunk);
	}

	state.chunks = [];
	return stream;
};

const takeChunk = (state: State, chunk: Buffer): void => {
	state.connection.provedAt = state.clock();
	if (state.stream !== undefined) {
		if (!state.stream.push(chunk)) {
			state.controller?.pause();
		}

		return;
	}

	state.chunks.push(chunk);
	state.held += chunk.length;
	if (state.held > state.cfg.maxBufferedBytes) {
		state.stream = startStream(state);
		state.controller?.pause();
		finish(state, createAnswered(state, state.stream));
	}
};

const takeEnd = (state: State): void => {
	if (state.connection.ended) {
		// Neither length nor last chunk: nothing tells it from a cut answer.
		breakOff(state, new Error('the answer ended with the connection'));
		return;
	}

	if (state.stream === undefined) {
		const body = Buffer.concat(state.chunks, state.held);
		finish(state, createAnswered(state, body));
	} else {
		// Before the stream ends, so that its end is not taken for an abort.
		free(state, true);
		state.stream.push(null);
	}

	free(state, true);
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
			// Announced, so that its end is no sign of a fault.
			const {connection = ''} = headers;
			state.connection.retired ||= /\bclose\b/iv.test(String(connection));
		}
	},
	onResponseData(_controller, chunk) {
		takeChunk(state, chunk);
	},
	onResponseEnd() {
		takeEnd(state);
	},
	onResponseError(_controller, err) {
		breakOff(state, err);
	},
});

/** Sends a request on a connection that nothing else is using. */
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
		held: 0,
		ended: false,
		freed: false,
	};
	const {method, path, headers, body} = req;
	const sent = body instanceof Readable ? body : (body ?? null);
	connection.client.dispatch(
		{method, path, headers, body: sent},
		createHandler(state),
	);
	return {
		getBytesSent: () => getBytesSent(state),
		abort() {
			abort(state);
		},
	};
};

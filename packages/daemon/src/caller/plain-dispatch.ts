/**
 * Sends a call to the executor with the fewest requests in flight here, once.
 * No health, retry or shared limit; baseline of the upstream dispatcher.
 */

import {EventEmitter} from 'node:events';
import {errors as undiciErrors, Pool} from 'undici';
import type {errors, Instance, View} from '@gullstand/core';
import {createError, type Call, type CallHandler} from './call.js';
import {selectAnswerHeaders, selectRequestHeaders} from './headers.js';

/** What plain dispatch needs. */
export type PlainDispatchDeps = {
	readonly getView: () => View;
	readonly now: () => number;
	readonly connectTimeoutMs: number;
};

/** Plain dispatch and what it holds open. */
export type PlainDispatch = {
	readonly handle: CallHandler;
	/** Requests in flight from this entry to one instance. */
	readonly getInFlight: (instance: string) => number;
	readonly close: () => Promise<void>;
};

const unsentErrors = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ECONNREFUSED']);

const classifyError = (err: unknown): errors.ErrorKind => {
	const code = (err as {code?: string}).code ?? '';
	if (unsentErrors.has(code)) {
		return 'upstream-unreachable';
	}

	if (err instanceof undiciErrors.RequestAbortedError) {
		return 'upstream-timeout';
	}

	const isTimeout =
		err instanceof undiciErrors.HeadersTimeoutError ||
		err instanceof undiciErrors.BodyTimeoutError ||
		(err as Error).name === 'TimeoutError';
	return isTimeout ? 'upstream-timeout' : 'upstream-reset';
};

/** Executors of a pool that may get new work. */
export const listServing = (view: View, pool: string): Instance[] =>
	[...view.instances.values()].filter(
		(each) =>
			each.pool === pool &&
			each.kind === 'executor' &&
			each.state === 'serving',
	);

/** Creates plain dispatch. */
export const createPlainDispatch = (deps: PlainDispatchDeps): PlainDispatch => {
	const pools = new Map<string, Pool>();
	const inFlight = new Map<string, number>();

	const getInFlight = (instance: string) => inFlight.get(instance) ?? 0;

	const getPool = (address: string): Pool => {
		const known = pools.get(address);
		if (known) {
			return known;
		}

		const created = new Pool(`http://${address}`, {
			pipelining: 1,
			connections: 8,
			connectTimeout: deps.connectTimeoutMs,
		});
		pools.set(address, created);
		return created;
	};

	const pick = (call: Call): Instance | undefined => {
		let best: Instance | undefined;
		for (const each of listServing(deps.getView(), call.service.pool)) {
			if (!best || getInFlight(each.id) < getInFlight(best.id)) {
				best = each;
			}
		}

		return best;
	};

	const send = async (call: Call, executor: Instance) => {
		const leftMs = Math.max(1, Math.ceil(call.deadline - deps.now()));
		// Undici takes either; an emitter makes no exception object a request.
		// eslint-disable-next-line unicorn/prefer-event-target
		const abort = new EventEmitter();
		const stopWaiting = () => abort.emit('abort');
		const timer = setTimeout(stopWaiting, leftMs);
		const removeListener = call.cancellation.onCancel(stopWaiting);
		try {
			const res = await getPool(executor.address).request({
				path: call.path,
				method: call.method,
				headers: selectRequestHeaders(call.headers),
				body: call.body.length > 0 ? call.body : null,
				signal: abort,
			});
			const body = new Uint8Array(await res.body.arrayBuffer());
			return {status: res.statusCode, headers: res.headers, body};
		} finally {
			clearTimeout(timer);
			removeListener();
		}
	};

	const handle: CallHandler = async (call) => {
		const executor = pick(call);
		if (!executor) {
			return createError('no-executor');
		}

		inFlight.set(executor.id, getInFlight(executor.id) + 1);
		try {
			const {status, headers, body} = await send(call, executor);
			return {
				kind: 'answer',
				status,
				headers: selectAnswerHeaders(headers),
				body,
				executor: executor.id,
				attempts: 1,
			};
		} catch (err) {
			return createError(classifyError(err), 1);
		} finally {
			inFlight.set(executor.id, getInFlight(executor.id) - 1);
		}
	};

	const close = async () => {
		await Promise.all([...pools.values()].map(async (pool) => pool.destroy()));
		pools.clear();
	};

	return {handle, getInFlight, close};
};

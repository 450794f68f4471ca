/** Handles callers' calls by one upstream a service, kept up with the view. */
import {Readable} from 'node:stream';
import type * as core from '@gullstand/core';
import {
	createError,
	type Call,
	type CallHandler,
	type CallResult,
} from '../caller/call.js';
import {selectAnswerHeaders, selectRequestHeaders} from '../caller/headers.js';
import {listServing} from '../view/list-serving.js';
import type {AttemptResult, TakeSlot, UpstreamConfig} from './types.js';
import * as upstreams from './upstream.js';

/** What the handler needs. */
export type UpstreamDispatchDeps = {
	readonly getView: () => core.View;
	readonly now: () => number;
	/** Draws a number in [0, 1). */
	readonly random: () => number;
	readonly cfg: Omit<UpstreamConfig, 'connectionsPerExecutor'>;
	/** Entries that share the connections of an executor. */
	readonly entries: number;
	/** Slots of a service across entries, where a limit is wired. */
	readonly getTakeSlot?: (service: core.Service) => TakeSlot;
	/** Wraps each taker of slots, such as to count and gate the picks. */
	readonly wrapTakeSlot?: (takeSlot: TakeSlot) => TakeSlot;
};

/** The handler and what it holds open. */
export type UpstreamDispatch = {
	readonly handle: CallHandler;
	/** Requests in flight from this entry to one instance. */
	readonly getInFlight: (instance: string) => number;
	readonly close: () => Promise<void>;
	/** Puts a view in force: every later pick is made by it. */
	readonly applyView: (view: core.View) => void;
	/** Health of the executors of each service. */
	readonly listExecutors: () => ReadonlyMap<
		string,
		readonly upstreams.ExecutorReport[]
	>;
};

type ServicePath = {
	readonly form: string;
	readonly path: upstreams.Upstream;
};

const closeDeadlineMs = 10_000;

/** One for requests, one kept for probes. */
const minConnections = 2;

const toResult = (result: AttemptResult): CallResult => {
	if (result.kind === 'error') {
		return createError(result.error, result.attempts);
	}

	const {status, headers, body, executor, attempts} = result;
	return {
		kind: 'answer',
		status,
		headers: selectAnswerHeaders(headers),
		body:
			body instanceof Readable
				? (Readable.toWeb(body) as ReadableStream<Uint8Array>)
				: body,
		executor,
		attempts,
	};
};

/** Creates the handler. */
export const createUpstreamDispatch = (
	deps: UpstreamDispatchDeps,
): UpstreamDispatch => {
	const paths = new Map<string, ServicePath>();
	/** Paths of services that were changed or removed; they finish their work. */
	const closing = new Set<upstreams.Upstream>();
	let revision = -1;

	const createPath = (service: core.Service): upstreams.Upstream => {
		const share = Math.floor(service.connectionsPerExecutor / deps.entries);
		const connectionsPerExecutor = Math.max(minConnections, share);
		return upstreams.createUpstream({
			service,
			cfg: {...deps.cfg, connectionsPerExecutor},
			clock: deps.now,
			random: deps.random,
			...(deps.getTakeSlot && {takeSlot: deps.getTakeSlot(service)}),
			...(deps.wrapTakeSlot && {wrapTakeSlot: deps.wrapTakeSlot}),
		});
	};

	const closePath = async (name: string): Promise<void> => {
		const known = paths.get(name);
		if (known !== undefined) {
			paths.delete(name);
			closing.add(known.path);
			await known.path.close(closeDeadlineMs);
			closing.delete(known.path);
		}
	};

	const follow = (view: core.View): void => {
		revision = view.revision;
		for (const name of paths.keys()) {
			const form = JSON.stringify(view.services.get(name));
			if (form !== paths.get(name)?.form) {
				void closePath(name);
			}
		}

		for (const [name, {path}] of paths) {
			const pool = view.services.get(name)?.pool ?? '';
			path.setExecutors(listServing(view, pool));
		}
	};

	const findPath = (view: core.View, service: core.Service) => {
		const known = paths.get(service.name);
		if (known !== undefined) {
			return known.path;
		}

		const path = createPath(service);
		path.setExecutors(listServing(view, service.pool));
		paths.set(service.name, {form: JSON.stringify(service), path});
		return path;
	};

	const handle = async (call: Call): Promise<CallResult> => {
		const view = deps.getView();
		if (view.revision !== revision) {
			follow(view);
		}

		const result = await findPath(view, call.service).dispatch({
			method: call.method,
			path: call.path,
			headers: selectRequestHeaders(call.headers),
			body: call.body.length > 0 ? call.body : undefined,
			repeatable: call.idempotent,
			deadline: call.deadline,
			cancellation: call.cancellation,
		});
		return toResult(result);
	};

	const listPaths = () => [
		...[...paths.values()].map(({path}) => path),
		...closing,
	];

	return {
		handle,
		applyView(view) {
			if (view.revision !== revision) {
				follow(view);
			}
		},
		getInFlight(instance) {
			let count = 0;
			for (const path of listPaths()) {
				count += path.getInFlight(instance);
			}

			return count;
		},
		listExecutors: () =>
			new Map([...paths].map(([name, {path}]) => [name, path.listExecutors()])),
		async close() {
			await Promise.all([...paths.keys()].map(async (name) => closePath(name)));
		},
	};
};

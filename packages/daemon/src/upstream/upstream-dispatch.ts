/** Dispatches callers' calls to one upstream per service of the view. */
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

/** Dependencies of the dispatch. */
export type UpstreamDispatchDeps = {
	readonly getView: () => core.View;
	readonly now: () => number;
	/** Draws a number in [0, 1). */
	readonly random: () => number;
	readonly cfg: Omit<UpstreamConfig, 'connectionsPerExecutor'>;
	/** Number of entries that share the connections of an executor. */
	readonly entries: number;
	/** Takes slots of a service by limits that entries share, if configured. */
	readonly getTakeSlot?: (service: core.Service) => TakeSlot;
	/** Whether requests may be dispatched now; true if absent. */
	readonly mayRoute?: () => boolean;
	/** Wraps each function that takes slots, for example to count them. */
	readonly wrapTakeSlot?: (takeSlot: TakeSlot) => TakeSlot;
};

/** The call handler and the upstreams that it owns. */
export type UpstreamDispatch = {
	readonly handle: CallHandler;
	/** Requests in flight from this entry to one instance. */
	readonly getInFlight: (instance: string) => number;
	readonly close: () => Promise<void>;
	/** Applies a view; later calls use its services and executors. */
	readonly applyView: (view: core.View) => void;
	/** Health of the executors of each service. */
	readonly listExecutors: () => ReadonlyMap<
		string,
		readonly upstreams.ExecutorReport[]
	>;
};

type ServiceUpstream = {
	/** JSON of the service, to detect changes. */
	readonly serviceJson: string;
	readonly upstream: upstreams.Upstream;
};

const closeDeadlineMs = 10_000;

/** One connection for requests and one reserved for probes. */
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
	const upstreamsByName = new Map<string, ServiceUpstream>();
	/** Upstreams of changed or removed services, until their calls end. */
	const closing = new Set<upstreams.Upstream>();
	let revision = -1;

	const createUpstream = (service: core.Service): upstreams.Upstream => {
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

	const closeUpstream = async (name: string): Promise<void> => {
		const known = upstreamsByName.get(name);
		if (known !== undefined) {
			upstreamsByName.delete(name);
			closing.add(known.upstream);
			await known.upstream.close(closeDeadlineMs);
			closing.delete(known.upstream);
		}
	};

	const applyView = (view: core.View): void => {
		revision = view.revision;
		for (const name of upstreamsByName.keys()) {
			const serviceJson = JSON.stringify(view.services.get(name));
			if (serviceJson !== upstreamsByName.get(name)?.serviceJson) {
				void closeUpstream(name);
			}
		}

		for (const [name, {upstream}] of upstreamsByName) {
			const pool = view.services.get(name)?.pool ?? '';
			upstream.setExecutors(listServing(view, pool));
		}
	};

	const findUpstream = (view: core.View, service: core.Service) => {
		const known = upstreamsByName.get(service.name);
		if (known !== undefined) {
			return known.upstream;
		}

		const upstream = createUpstream(service);
		upstream.setExecutors(listServing(view, service.pool));
		upstreamsByName.set(service.name, {
			serviceJson: JSON.stringify(service),
			upstream,
		});
		return upstream;
	};

	const handle = async (call: Call): Promise<CallResult> => {
		if (deps.mayRoute?.() === false) {
			return createError('entry-isolated');
		}

		const view = deps.getView();
		if (view.revision !== revision) {
			applyView(view);
		}

		const result = await findUpstream(view, call.service).dispatch({
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

	const listUpstreams = () => [
		...[...upstreamsByName.values()].map(({upstream}) => upstream),
		...closing,
	];

	return {
		handle,
		applyView(view) {
			if (view.revision !== revision) {
				applyView(view);
			}
		},
		getInFlight(instance) {
			let count = 0;
			for (const upstream of listUpstreams()) {
				count += upstream.getInFlight(instance);
			}

			return count;
		},
		listExecutors: () =>
			new Map(
				[...upstreamsByName].map(([name, {upstream}]) => [
					name,
					upstream.listExecutors(),
				]),
			),
		async close() {
			await Promise.all(
				[...upstreamsByName.keys()].map(async (name) => closeUpstream(name)),
			);
		},
	};
};

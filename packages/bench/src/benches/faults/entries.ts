/** The entries under test and the baseline entries. */
import {
	defaultUpstreamConfig,
	upstream,
	type upstreamTypes,
} from '@gullstand/daemon';
import type * as core from '@gullstand/core';
import {answers} from '@gullstand/stand-in';
import {Pool} from 'undici';
import type {Random} from '../../frame/random.js';
import type {ExecutorReport} from './fleet-messages.js';

/** The part of an upstream that the bench uses. */
export type Entry = Pick<upstream.Upstream, 'dispatch' | 'getStats' | 'close'>;

/** Executors with their availability zones. */
export type Executors = readonly ExecutorReport[];

const service: core.Service = {
	name: 'quoting',
	pool: 'quoting',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503], header: answers.refusalHeader},
};

const now = () => performance.now();

/** Creates an entry with the upstream of the daemon. */
export const createEntry = (executors: Executors, random: Random): Entry => {
	const path = upstream.createUpstream({
		service,
		cfg: defaultUpstreamConfig,
		clock: now,
		random,
	});
	path.setExecutors(executors);
	return path;
};

const emptyStats = (): upstreamTypes.UpstreamStats => ({
	requests: 0,
	refused: 0,
	attempts: 0,
	retries: 0,
	hedges: 0,
	budgetDenied: 0,
	probes: 0,
	retiredConnections: 0,
});

/** Creates a baseline entry: round robin, no health checks, no retries. */
export const createPlainEntry = (executors: Executors): Entry => {
	const pools = executors.map(
		({address}) =>
			new Pool(`http://${address}`, {
				connections: defaultUpstreamConfig.connectionsPerExecutor,
				connectTimeout: defaultUpstreamConfig.connectTimeoutMs,
			}),
	);
	const stats = emptyStats();

	const dispatch: Entry['dispatch'] = async (req) => {
		const index = stats.requests % pools.length;
		stats.requests += 1;
		stats.attempts += 1;
		const signal = AbortSignal.timeout(
			Math.max(1, Math.ceil(req.deadline - now())),
		);
		try {
			const res = await pools[index]!.request({
				method: req.method,
				path: req.path,
				headers: req.headers as Record<string, string>,
				body: req.body as Uint8Array,
				signal,
			});
			const body = new Uint8Array(await res.body.arrayBuffer());
			const {statusCode: status, headers} = res;
			const {id} = executors[index]!;
			return {
				kind: 'answer',
				outcome: 'ran',
				status,
				headers,
				body,
				executor: id,
				attempts: 1,
			};
		} catch {
			return {
				kind: 'error',
				error: 'upstream-reset',
				outcome: 'unknown',
				attempts: 1,
			};
		}
	};

	return {
		dispatch,
		getStats: () => stats,
		async close() {
			await Promise.all(pools.map(async (pool) => pool.destroy()));
		},
	};
};

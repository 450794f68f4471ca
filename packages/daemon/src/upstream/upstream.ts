/**
 * Upstream of one service: connections, health, retries, hedges and probes.
 * Source: docs/design/upstream-faults.md.
 */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import * as dispatcher from './dispatcher.js';
import * as probes from './probe.js';
import * as slots from './local-slots.js';
import * as states from './state.js';
import type {
	AttemptResult,
	TakeSlot,
	UpstreamConfig,
	UpstreamRequest,
	UpstreamStats,
} from './types.js';

/** Options of an upstream. */
export type UpstreamOptions = {
	readonly service: core.Service;
	readonly cfg: UpstreamConfig;
	/** Present time in milliseconds; deadlines use the same clock. */
	readonly clock: () => number;
	/** Draws a number in [0, 1). */
	readonly random: () => number;
	/** Takes slots; by default, only requests of this entry are counted. */
	readonly takeSlot?: TakeSlot;
	/** Wraps `takeSlot`, for example to count slots. */
	readonly wrapTakeSlot?: (takeSlot: TakeSlot) => TakeSlot;
};

/** Health of one executor as reported to operators. */
export type ExecutorReport = {
	readonly id: string;
	readonly status: core.health.HealthStatus['kind'];
	readonly connections: number;
	readonly latencyMs: number;
	readonly failureRate: number;
};

/** Executors that are serving. */
export type Targets = readonly states.ExecutorTarget[];

/** The upstream of one service. */
export type Upstream = {
	/** Never rejects: every failure is a result with a kind and an outcome. */
	readonly dispatch: (req: UpstreamRequest) => Promise<AttemptResult>;
	/** Sets the serving executors; removed ones get no new requests. */
	readonly setExecutors: (targets: Targets) => void;
	readonly getStats: () => Readonly<UpstreamStats>;
	/** Attempts in flight on an executor, even a removed one. */
	readonly getInFlight: (executor: string) => number;
	readonly listExecutors: () => ExecutorReport[];
	/** Stops; requests in flight are aborted after `deadlineMs`. */
	readonly close: (deadlineMs: number) => Promise<void>;
};

/** Requests per executor: one connection each, and one reserved for probes. */
const getLocalLimit = (service: core.Service, cfg: UpstreamConfig): number =>
	Math.max(
		1,
		Math.min(service.slotsPerExecutor, cfg.connectionsPerExecutor - 1),
	);

const createState = (options: UpstreamOptions): states.UpstreamState => {
	const {service, cfg, clock, random} = options;
	const takeSlot =
		options.takeSlot ??
		slots.createLocalSlots(getLocalLimit(service, cfg), random);
	const state: states.UpstreamState = {
		onLost(link) {
			probes.suspectConnections(state, link);
		},
		service,
		cfg,
		clock,
		takeSlot: options.wrapTakeSlot?.(takeSlot) ?? takeSlot,
		links: new Map(),
		inFlight: new Map(),
		health: core.health.createPoolHealth(cfg.health),
		budget: core.retryBudget.createRetryBudget(cfg.retryBudget),
		serviceTime: core.unresponsiveConnections.createServiceTime(),
		stats: {
			requests: 0,
			refused: 0,
			attempts: 0,
			retries: 0,
			hedges: 0,
			budgetDenied: 0,
			probes: 0,
			retiredConnections: 0,
		},
	};
	return state;
};

const sweep = (state: states.UpstreamState): void => {
	for (const {pool} of state.links.values()) {
		pools.sweep(pool);
	}

	probes.startDueProbes(state);
};

const listExecutors = (state: states.UpstreamState): ExecutorReport[] => {
	const reports: ExecutorReport[] = [];
	for (const {id, pool} of state.links.values()) {
		const health = state.health.executors.get(id);
		if (health !== undefined) {
			const {status, latencyMs, failureRate} = health;
			const connections = pool.open.size;
			reports.push({
				id,
				status: status.kind,
				connections,
				latencyMs,
				failureRate,
			});
		}
	}

	return reports;
};

/** Waits until all promises are settled, at most `deadlineMs`. */
const waitFor = async (
	pending: Iterable<Promise<unknown>>,
	deadlineMs: number,
): Promise<void> => {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<void>((resolve) => {
		timer = setTimeout(resolve, deadlineMs);
	});
	await Promise.race([Promise.allSettled(pending), timeout]);
	clearTimeout(timer);
};

/** Creates the upstream of one service, without executors. */
export const createUpstream = (options: UpstreamOptions): Upstream => {
	const state = createState(options);
	const pending = new Set<Promise<AttemptResult>>();
	const timer = setInterval(() => {
		sweep(state);
	}, options.cfg.sweepMs);
	timer.unref();

	const dispatch = async (req: UpstreamRequest): Promise<AttemptResult> => {
		const result = dispatcher.dispatch(state, req);
		pending.add(result);
		try {
			return await result;
		} finally {
			pending.delete(result);
		}
	};

	return {
		dispatch,
		setExecutors(targets) {
			states.setExecutors(state, targets);
		},
		getStats: () => state.stats,
		getInFlight: (executor) => state.inFlight.get(executor) ?? 0,
		listExecutors: () => listExecutors(state),
		async close(deadlineMs) {
			clearInterval(timer);
			await waitFor(pending, deadlineMs);
			const open = [...state.links.values()].flatMap(({pool}) => [
				...pool.open,
			]);
			states.setExecutors(state, []);
			for (const each of open) {
				each.socket.destroy();
			}
		},
	};
};

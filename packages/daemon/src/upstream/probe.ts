/** Probes executors on new connections and applies the results. */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import type {Connection} from './connection.js';
import * as exchanges from './exchange.js';
import {startPauseTolerantTimer} from './pause-tolerant-timer.js';
import type {ExecutorLink, UpstreamState} from './state.js';

/** Undefined if no connection was available for the probe. */
type ProbeResult = 'answered' | 'failed' | undefined;

const probeRequest = {
	method: 'OPTIONS',
	path: '/',
	headers: {},
	body: undefined,
} as const;

/** Sends the probe request; an answer with any status is a success. */
const sendProbeRequest = async (
	state: UpstreamState,
	{pool}: ExecutorLink,
	connection: Connection,
): Promise<ProbeResult> =>
	new Promise((resolve) => {
		const exchange = exchanges.startExchange(connection, probeRequest, state, {
			onEnd({end}) {
				timer.cancel();
				resolve(end.kind === 'answered' ? 'answered' : 'failed');
			},
			onFree(whole) {
				if (whole) {
					pools.release(pool, connection);
				} else {
					pools.discard(pool, connection);
				}
			},
		});
		const timer = startPauseTolerantTimer(
			state.cfg.unresponsiveDetection.probeTimeoutMs,
			() => {
				exchange.abort();
				resolve('failed');
			},
		);
	});

const probe = async (
	state: UpstreamState,
	link: ExecutorLink,
): Promise<ProbeResult> => {
	state.stats.probes += 1;
	const connection = await pools.openNew(link.pool, 'probe');
	if (connection === 'no-connection') {
		return undefined;
	}

	if (connection === 'connect-failed') {
		return 'failed';
	}

	if (state.cfg.probe === 'connect') {
		pools.release(link.pool, connection);
		return 'answered';
	}

	return sendProbeRequest(state, link, connection);
};

/** Probes whether only old connections are broken or the executor is down. */
const probeSuspected = async (
	state: UpstreamState,
	link: ExecutorLink,
): Promise<void> => {
	const result = await probe(state, link);
	if (result === undefined) {
		link.probeState.probing = false;
		return;
	}

	const decision = core.unresponsiveConnections.recordProbe(
		link.probeState,
		result === 'answered',
		link.unresponsiveAttempts > 0,
	);
	link.unresponsiveAttempts = 0;
	if (decision.kind === 'retire-older') {
		const retired = pools.retireOlder(link.pool, decision.before);
		state.stats.retiredConnections += retired;
	} else if (decision.kind === 'unreachable') {
		const event = {kind: 'unreachable'} as const;
		core.health.recordEvent(state.health, link.id, event, state.clock());
	}
};

/** Marks the connections of an executor as suspected and probes if due. */
export const suspectConnections = (
	state: UpstreamState,
	link: ExecutorLink,
): void => {
	const {unresponsiveDetection} = state.cfg;
	const now = state.clock();
	if (
		core.unresponsiveConnections.recordUnresponsive(
			link.probeState,
			unresponsiveDetection,
			now,
		)
	) {
		void probeSuspected(state, link);
	}
};

/** Probes an ejected executor, which returns only after an answered probe. */
const probeEjected = async (
	state: UpstreamState,
	link: ExecutorLink,
): Promise<void> => {
	if (link.probeState.probing) {
		return;
	}

	link.probeState.probing = true;
	link.probeState.lastProbeAt = state.clock();
	const result = await probe(state, link);
	link.probeState.probing = false;
	if (result !== undefined) {
		const kind = result === 'answered' ? 'probed' : 'unreachable';
		core.health.recordEvent(state.health, link.id, {kind}, state.clock());
	}
};

/** Starts all due probes; called every `sweepMs`. */
export const startDueProbes = (state: UpstreamState): void => {
	const now = state.clock();
	const {unresponsiveDetection} = state.cfg;
	for (const link of state.links.values()) {
		if (
			core.unresponsiveConnections.startProbeIfDue(
				link.probeState,
				unresponsiveDetection,
				now,
			)
		) {
			void probeSuspected(state, link);
		}
	}

	for (const id of core.executorWeights.listDueProbes(state.health, now)) {
		const link = state.links.get(id);
		if (link !== undefined) {
			void probeEjected(state, link);
		}
	}
};

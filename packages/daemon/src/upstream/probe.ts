/** Probes on new connections, and what follows from them. */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import type {Connection} from './connection.js';
import * as exchanges from './exchange.js';
import {startPatientTimer} from './patient-timer.js';
import type {ExecutorLink, UpstreamState} from './state.js';

/** Undefined if there was no connection to spare for it. */
type ProbeResult = 'answered' | 'failed' | undefined;

const probeRequest = {
	method: 'OPTIONS',
	path: '/',
	headers: {},
	body: undefined,
} as const;

/** Any status will do: it proves that bytes go both ways. */
const ask = async (
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
		const timer = startPatientTimer(state.cfg.silence.probeTimeoutMs, () => {
			exchange.abort();
			resolve('failed');
		});
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

	return ask(state, link, connection);
};

/** Finds out whether old connections are dead or the executor is. */
const probeSuspected = async (
	state: UpstreamState,
	link: ExecutorLink,
): Promise<void> => {
	const result = await probe(state, link);
	if (result === undefined) {
		link.silence.probing = false;
		return;
	}

	const verdict = core.unresponsiveConnections.recordProbe(
		link.silence,
		result === 'answered',
		link.silentAttempts > 0,
	);
	link.silentAttempts = 0;
	if (verdict.kind === 'retire-older') {
		const retired = pools.retireOlder(link.pool, verdict.before);
		state.stats.retiredConnections += retired;
	} else if (verdict.kind === 'unreachable') {
		const event = {kind: 'unreachable'} as const;
		core.health.recordEvent(state.health, link.id, event, state.clock());
	}
};

/** Puts the connections of an executor in doubt and probes if one is due. */
export const suspect = (state: UpstreamState, link: ExecutorLink): void => {
	const {silence} = state.cfg;
	const now = state.clock();
	if (
		core.unresponsiveConnections.recordUnresponsive(link.silence, silence, now)
	) {
		void probeSuspected(state, link);
	}
};

/** An ejected executor whose time is over returns only after an answer. */
const probeEjected = async (
	state: UpstreamState,
	link: ExecutorLink,
): Promise<void> => {
	if (link.silence.probing) {
		return;
	}

	link.silence.probing = true;
	link.silence.lastProbeAt = state.clock();
	const result = await probe(state, link);
	link.silence.probing = false;
	if (result !== undefined) {
		const kind = result === 'answered' ? 'probed' : 'unreachable';
		core.health.recordEvent(state.health, link.id, {kind}, state.clock());
	}
};

/** Starts every probe that is due; call it every `sweepMs`. */
export const startDueProbes = (state: UpstreamState): void => {
	const now = state.clock();
	const {silence} = state.cfg;
	for (const link of state.links.values()) {
		if (
			core.unresponsiveConnections.startProbeIfDue(link.silence, silence, now)
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

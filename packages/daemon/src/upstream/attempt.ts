/** Runs one attempt of a request: acquires a connection and sends on it. */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import type {Connection} from './connection.js';
import * as exchanges from './exchange.js';
import {
	startPauseTolerantTimer,
	type PauseTolerantTimer,
} from './pause-tolerant-timer.js';
import * as states from './state.js';
import type {ExecutorLink, UpstreamState} from './state.js';
import type {Target} from './target.js';
import type {Slot, UpstreamRequest} from './types.js';

/** A running attempt. */
export type Attempt = {
	readonly link: ExecutorLink;
	/** Returns the slot; later calls do nothing. */
	readonly releaseSlot: Slot['release'];
	readonly startedAt: number;
	/** Only connections that received bytes after this time are reused. */
	readonly suspectedAt: number | undefined;
	/** True once no byte was received for longer than the threshold. */
	isUnresponsive: boolean;
	aborted: boolean;
	exchange: exchanges.Exchange | undefined;
	timer: PauseTolerantTimer | undefined;
};

/** Executor, slot and connection requirement of an attempt. */
export type AttemptTarget = Target & Pick<Attempt, 'suspectedAt'>;

/** Callbacks of an attempt to the dispatcher. */
export type AttemptEvents = {
	/** Called once, unless the attempt was aborted. */
	readonly onEnd: (attempt: Attempt, end: exchanges.ExchangeEnd) => void;
	/** Called each time the threshold passes without a received byte. */
	readonly onUnresponsive: (attempt: Attempt) => void;
};

type Context = {
	readonly state: UpstreamState;
	readonly attempt: Attempt;
	readonly req: UpstreamRequest;
	readonly events: AttemptEvents;
};

/** Bytes of the request that were written to the socket. */
export const getBytesSent = ({exchange}: Attempt): number =>
	exchange?.getBytesSent() ?? 0;

const watchResponsiveness = (ctx: Context, connection: Connection): void => {
	const {state, attempt, events} = ctx;
	const sentAt = state.clock();
	const check = () => {
		const idleMs = state.clock() - Math.max(sentAt, connection.provedAt);
		const limitMs = core.unresponsiveConnections.getUnresponsiveAfterMs(
			state.serviceTime,
			state.cfg.unresponsiveDetection,
		);
		if (idleMs >= limitMs) {
			events.onUnresponsive(attempt);
		}

		const nextMs = idleMs >= limitMs ? limitMs : limitMs - idleMs;
		attempt.timer = startPauseTolerantTimer(nextMs, check);
	};

	check();
};

const send = (ctx: Context, connection: Connection): void => {
	const {state, attempt, req, events} = ctx;
	const {link, releaseSlot} = attempt;
	attempt.exchange = exchanges.startExchange(connection, req, state, {
		onEnd(end) {
			attempt.timer?.cancel();
			events.onEnd(attempt, end);
		},
		onFree(whole) {
			attempt.timer?.cancel();
			releaseSlot(!whole && getBytesSent(attempt) > 0);
			if (whole) {
				pools.release(link.pool, connection);
			} else {
				pools.discard(link.pool, connection);
			}
		},
	});
	watchResponsiveness(ctx, connection);
};

const getLatest = (
	first: number | undefined,
	second: number | undefined,
): number | undefined =>
	first === undefined || second === undefined
		? (first ?? second)
		: Math.max(first, second);

const connect = async (ctx: Context): Promise<void> => {
	const {attempt, req, events} = ctx;
	const {pool, probeState} = attempt.link;
	const suspectedAt = getLatest(probeState.suspectedAt, attempt.suspectedAt);
	const {repeatable} = req;
	const connection = await pools.acquire(pool, {repeatable, suspectedAt});
	if (typeof connection === 'string') {
		if (!attempt.aborted) {
			attempt.releaseSlot(false);
			events.onEnd(attempt, {end: {kind: connection}});
		}
	} else if (attempt.aborted) {
		pools.release(pool, connection);
	} else {
		send(ctx, connection);
	}
};

/** Counts the attempt as in flight until its slot is released. */
const countInFlight = (state: UpstreamState, slot: Slot): Slot['release'] => {
	let held = true;
	states.addInFlight(state, slot.executor, 1);
	return (mayStillRun) => {
		if (held) {
			held = false;
			states.addInFlight(state, slot.executor, -1);
			slot.release(mayStillRun);
		}
	};
};

/** Starts an attempt on the executor of an acquired slot. */
export const startAttempt = (
	state: UpstreamState,
	req: UpstreamRequest,
	{link, slot, suspectedAt}: AttemptTarget,
	events: AttemptEvents,
): Attempt => {
	const attempt: Attempt = {
		link,
		releaseSlot: countInFlight(state, slot),
		startedAt: state.clock(),
		suspectedAt,
		isUnresponsive: false,
		aborted: false,
		exchange: undefined,
		timer: undefined,
	};
	void connect({state, attempt, req, events});
	return attempt;
};

/** Aborts an attempt; its connection is destroyed if the exchange began. */
export const abortAttempt = (attempt: Attempt): void => {
	attempt.aborted = true;
	attempt.timer?.cancel();
	if (attempt.exchange === undefined) {
		attempt.releaseSlot(false);
	} else {
		attempt.exchange.abort();
	}
};

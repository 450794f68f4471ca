/** One attempt of a request: a slot, a connection, an exchange. */
import * as core from '@gullstand/core';
import * as pools from './connection-pool.js';
import type {Connection} from './connection.js';
import * as exchanges from './exchange.js';
import {startPatientTimer, type PatientTimer} from './patient-timer.js';
import * as states from './state.js';
import type {ExecutorLink, UpstreamState} from './state.js';
import type {Target} from './target.js';
import type {Slot, UpstreamRequest} from './types.js';

/** A running attempt. */
export type Attempt = {
	readonly link: ExecutorLink;
	/** Gives the slot back; later calls do nothing. */
	readonly releaseSlot: Slot['release'];
	readonly startedAt: number;
	/** Its connection must have been proved since then. */
	readonly provedSince: number | undefined;
	/** True once it has gone without a byte for longer than the threshold. */
	silent: boolean;
	aborted: boolean;
	exchange: exchanges.Exchange | undefined;
	timer: PatientTimer | undefined;
};

/** Where an attempt goes. */
export type AttemptTarget = Target & Pick<Attempt, 'provedSince'>;

/** What the dispatcher is told. */
export type AttemptEvents = {
	/** Once, unless aborted before. */
	readonly onEnd: (attempt: Attempt, end: exchanges.ExchangeEnd) => void;
	/** Each time that the threshold has passed without a byte. */
	readonly onSilent: (attempt: Attempt) => void;
};

type Context = {
	readonly state: UpstreamState;
	readonly attempt: Attempt;
	readonly req: UpstreamRequest;
	readonly events: AttemptEvents;
};

/** Bytes of the request that were handed to the socket. */
export const getBytesSent = ({exchange}: Attempt): number =>
	exchange?.getBytesSent() ?? 0;

const watchSilence = (ctx: Context, connection: Connection): void => {
	const {state, attempt, events} = ctx;
	const sentAt = state.clock();
	const check = () => {
		const quietMs = state.clock() - Math.max(sentAt, connection.provedAt);
		const limitMs = core.unresponsiveConnections.getUnresponsiveAfterMs(
			state.serviceTime,
			state.cfg.silence,
		);
		if (quietMs >= limitMs) {
			events.onSilent(attempt);
		}

		const nextMs = quietMs >= limitMs ? limitMs : limitMs - quietMs;
		attempt.timer = startPatientTimer(nextMs, check);
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
	watchSilence(ctx, connection);
};

const getLater = (
	one: number | undefined,
	other: number | undefined,
): number | undefined =>
	one === undefined || other === undefined
		? (one ?? other)
		: Math.max(one, other);

const connect = async (ctx: Context): Promise<void> => {
	const {attempt, req, events} = ctx;
	const {pool, silence} = attempt.link;
	const suspectedAt = getLater(silence.suspectedAt, attempt.provedSince);
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

/** Counts the attempt until its slot is given back, which happens once. */
const holdSlot = (state: UpstreamState, slot: Slot): Slot['release'] => {
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

/** Starts an attempt on an executor whose slot has been taken. */
export const startAttempt = (
	state: UpstreamState,
	req: UpstreamRequest,
	{link, slot, provedSince}: AttemptTarget,
	events: AttemptEvents,
): Attempt => {
	const attempt: Attempt = {
		link,
		releaseSlot: holdSlot(state, slot),
		startedAt: state.clock(),
		provedSince,
		silent: false,
		aborted: false,
		exchange: undefined,
		timer: undefined,
	};
	void connect({state, attempt, req, events});
	return attempt;
};

/** Gives an attempt up; its connection is destroyed if it carried bytes. */
export const abortAttempt = (attempt: Attempt): void => {
	attempt.aborted = true;
	attempt.timer?.cancel();
	if (attempt.exchange === undefined) {
		attempt.releaseSlot(false);
	} else {
		attempt.exchange.abort();
	}
};

/** The connections of one entry to one executor. */
import * as core from '@gullstand/core';
import * as connections from './connection.js';
import type {Connection} from './connection.js';
import type {UpstreamConfig} from './types.js';

/** Connections to one executor; one request in flight on each. */
export type ConnectionPool = {
	readonly address: string;
	readonly cfg: UpstreamConfig;
	readonly clock: () => number;
	/** Told when the other end closes a connection that was in good use. */
	readonly onLost: () => void;
	readonly open: Set<Connection>;
	readonly idle: Set<Connection>;
	/** Connections being made; they count against the limit. */
	opening: number;
	closed: boolean;
};

/** Closed sooner after its last use: no idle limit of a sound executor. */
const earlyCloseMs = 1000;

/** Why there is no connection. */
export type AcquireError = 'connect-failed' | 'no-connection';

/** Makes a pool without connections. */
export const createPool = (
	address: string,
	cfg: UpstreamConfig,
	clock: () => number,
	onLost: () => void,
): ConnectionPool => ({
	address,
	cfg,
	clock,
	onLost,
	open: new Set(),
	idle: new Set(),
	opening: 0,
	closed: false,
});

/** Closes one connection and forgets it. */
export const discard = (pool: ConnectionPool, connection: Connection): void => {
	pool.open.delete(connection);
	pool.idle.delete(connection);
	connections.destroyConnection(connection);
};

/** What a new connection is for: the last free place is kept for probes. */
type Purpose = 'request' | 'probe';

const isFull = (pool: ConnectionPool, purpose: Purpose): boolean => {
	const limit = pool.cfg.connectionsPerExecutor;
	const kept = purpose === 'probe' || limit === 1 ? 0 : 1;
	return pool.open.size + pool.opening >= limit - kept;
};

/** Makes room by closing the idle connection that was proved longest ago. */
const makeRoom = (pool: ConnectionPool, purpose: Purpose): boolean => {
	if (!isFull(pool, purpose)) {
		return true;
	}

	let oldest: Connection | undefined;
	for (const each of pool.idle) {
		if (oldest === undefined || each.provedAt < oldest.provedAt) {
			oldest = each;
		}
	}

	if (oldest !== undefined) {
		discard(pool, oldest);
	}

	return !isFull(pool, purpose);
};

/** True if the other end closed it although it had just been of use. */
const isLost = (
	pool: ConnectionPool,
	{retired, provedAt}: Connection,
): boolean =>
	!retired && !pool.closed && pool.clock() - provedAt < earlyCloseMs;

/** Opens a connection that is in use from the start. */
export const openNew = async (
	pool: ConnectionPool,
	purpose: Purpose,
): Promise<Connection | AcquireError> => {
	if (pool.closed || !makeRoom(pool, purpose)) {
		return 'no-connection';
	}

	pool.opening += 1;
	const {address, cfg, clock} = pool;
	const connection = await connections.openConnection(address, cfg, clock);
	pool.opening -= 1;
	if (connection === undefined) {
		return 'connect-failed';
	}

	pool.open.add(connection);
	connection.socket.once('close', () => {
		pool.open.delete(connection);
		pool.idle.delete(connection);
		if (isLost(pool, connection)) {
			pool.onLost();
		}
	});
	return connection;
};

const takeIdle = (
	pool: ConnectionPool,
	needs: core.connectionReuse.ReuseRequirements,
): Connection | undefined => {
	const now = pool.clock();
	for (;;) {
		const chosen = core.connectionReuse.chooseConnection(
			pool.idle,
			pool.cfg.reuse,
			needs,
			now,
		);
		if (chosen === undefined) {
			return undefined;
		}

		pool.idle.delete(chosen);
		if (connections.isUsable(chosen)) {
			return chosen;
		}

		discard(pool, chosen);
	}
};

/** Takes an idle connection that may carry the request, or opens one. */
export const acquire = async (
	pool: ConnectionPool,
	needs: core.connectionReuse.ReuseRequirements,
): Promise<Connection | AcquireError> =>
	takeIdle(pool, needs) ?? openNew(pool, 'request');

/** Puts a connection back whose answer was whole, or closes it. */
export const release = (pool: ConnectionPool, connection: Connection): void => {
	if (pool.closed || !connections.isUsable(connection)) {
		discard(pool, connection);
		return;
	}

	pool.idle.add(connection);
};

/** Retires every connection opened before a time; counts them. */
export const retireOlder = (pool: ConnectionPool, before: number): number => {
	let retired = 0;
	for (const each of pool.open) {
		if (each.openedAt >= before || each.retired) {
			continue;
		}

		retired += 1;
		// One in use may still bring its answer.
		each.retired = true;
		if (pool.idle.has(each)) {
			discard(pool, each);
		}
	}

	return retired;
};

/** Closes idle connections that are past their bounds. */
export const sweep = (pool: ConnectionPool): void => {
	const now = pool.clock();
	for (const each of pool.idle) {
		if (!core.connectionReuse.canKeep(each, pool.cfg.reuse, now)) {
			discard(pool, each);
		}
	}
};

/** Takes no more requests; what is in flight finishes. */
export const closePool = (pool: ConnectionPool): void => {
	pool.closed = true;
	for (const each of pool.idle) {
		discard(pool, each);
	}
};

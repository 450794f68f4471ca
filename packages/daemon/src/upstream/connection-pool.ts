/** Pools the connections of one entry to one executor. */
import * as core from '@gullstand/core';
import * as connections from './connection.js';
import type {Connection} from './connection.js';
import type {UpstreamConfig} from './types.js';

/** Connections to one executor; one request in flight on each. */
export type ConnectionPool = {
	readonly address: string;
	readonly cfg: UpstreamConfig;
	readonly clock: () => number;
	/** Called when the executor closes a connection soon after its last use. */
	readonly onLost: () => void;
	readonly open: Set<Connection>;
	readonly idle: Set<Connection>;
	/** Connections being opened; they count against the limit. */
	opening: number;
	closed: boolean;
};

/** A close earlier than this is not an idle timeout of the executor. */
const earlyCloseMs = 1000;

/** Why no connection was acquired. */
export type AcquireError = 'connect-failed' | 'no-connection';

/** Creates an empty pool. */
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

/** Closes a connection and removes it from the pool. */
export const discard = (pool: ConnectionPool, connection: Connection): void => {
	pool.open.delete(connection);
	pool.idle.delete(connection);
	connections.destroyConnection(connection);
};

/** Purpose of a new connection; one connection is reserved for probes. */
type Purpose = 'request' | 'probe';

const isFull = (pool: ConnectionPool, purpose: Purpose): boolean => {
	const limit = pool.cfg.connectionsPerExecutor;
	const reserved = purpose === 'probe' || limit === 1 ? 0 : 1;
	return pool.open.size + pool.opening >= limit - reserved;
};

/** Closes the least recently used idle connection if the pool is full. */
const ensureCapacity = (pool: ConnectionPool, purpose: Purpose): boolean => {
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

/** True if the executor closed a connection soon after its last use. */
const isLost = (
	pool: ConnectionPool,
	{retired, provedAt}: Connection,
): boolean =>
	!retired && !pool.closed && pool.clock() - provedAt < earlyCloseMs;

/** Opens a connection that is not idle. */
export const openNew = async (
	pool: ConnectionPool,
	purpose: Purpose,
): Promise<Connection | AcquireError> => {
	if (pool.closed || !ensureCapacity(pool, purpose)) {
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

/** Takes an idle connection that fits the request, or opens one. */
export const acquire = async (
	pool: ConnectionPool,
	needs: core.connectionReuse.ReuseRequirements,
): Promise<Connection | AcquireError> =>
	takeIdle(pool, needs) ?? openNew(pool, 'request');

/** Returns a connection after a complete answer; closes an unusable one. */
export const release = (pool: ConnectionPool, connection: Connection): void => {
	if (pool.closed || !connections.isUsable(connection)) {
		discard(pool, connection);
		return;
	}

	pool.idle.add(connection);
};

/** Retires all connections opened before a time; returns their number. */
export const retireOlder = (pool: ConnectionPool, before: number): number => {
	let retired = 0;
	for (const each of pool.open) {
		if (each.openedAt >= before || each.retired) {
			continue;
		}

		retired += 1;
		// A connection in use may still receive its answer.
		each.retired = true;
		if (pool.idle.has(each)) {
			discard(pool, each);
		}
	}

	return retired;
};

/** Closes idle connections that are past the limits of `cfg.reuse`. */
export const sweep = (pool: ConnectionPool): void => {
	const now = pool.clock();
	for (const each of pool.idle) {
		if (!core.connectionReuse.canKeep(each, pool.cfg.reuse, now)) {
			discard(pool, each);
		}
	}
};

/** Closes idle connections and refuses new ones; requests in flight finish. */
export const closePool = (pool: ConnectionPool): void => {
	pool.closed = true;
	for (const each of pool.idle) {
		discard(pool, each);
	}
};

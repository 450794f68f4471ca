/**
 * Selects an open connection for the next request. An idle connection may be
 * dead without notice, so reuse is limited by idle time and age, and a request
 * that may not run twice needs a connection that received bytes recently.
 */

/** Limits of reuse, in milliseconds. */
export type ReuseConfig = {
	/** Must be below the idle timeout of middleboxes and of the executor. */
	readonly maxIdleMs: number;
	readonly maxAgeMs: number;
	/** How long after received bytes a connection is known to work. */
	readonly provedForMs: number;
};

/** Default settings. */
export const defaultReuseConfig: ReuseConfig = {
	maxIdleMs: 4000,
	maxAgeMs: 300_000,
	provedForMs: 250,
};

/** State of one connection. Times in milliseconds. */
export type ConnectionState = {
	readonly openedAt: number;
	/** When it was opened or last received bytes. */
	readonly provedAt: number;
	/** True if it must not carry another request. */
	readonly retired: boolean;
};

/** Requirements of a request on its connection. */
export type ReuseRequirements = {
	/** True if the request may run twice. */
	readonly repeatable: boolean;
	/** Since when the executor's connections are suspected, if they are. */
	readonly suspectedAt: number | undefined;
};

/** True if an idle connection may still be kept. */
export const canKeep = (
	connection: ConnectionState,
	cfg: ReuseConfig,
	now: number,
): boolean =>
	!connection.retired &&
	now - connection.provedAt < cfg.maxIdleMs &&
	now - connection.openedAt < cfg.maxAgeMs;

/** True if an idle connection may carry this request. */
export const canReuse = (
	connection: ConnectionState,
	cfg: ReuseConfig,
	requirements: ReuseRequirements,
	now: number,
): boolean => {
	if (!canKeep(connection, cfg, now)) {
		return false;
	}

	if (
		requirements.suspectedAt !== undefined &&
		connection.provedAt < requirements.suspectedAt
	) {
		return false;
	}

	return (
		requirements.repeatable || now - connection.provedAt <= cfg.provedForMs
	);
};

/** Returns the reusable connection that received bytes last. */
export const chooseConnection = <Connection extends ConnectionState>(
	idle: Iterable<Connection>,
	cfg: ReuseConfig,
	requirements: ReuseRequirements,
	now: number,
): Connection | undefined => {
	let best: Connection | undefined;
	for (const each of idle) {
		const newer = best === undefined || each.provedAt > best.provedAt;
		if (newer && canReuse(each, cfg, requirements, now)) {
			best = each;
		}
	}

	return best;
};

/**
 * Which open connection may carry the next request. A connection that was
 * left idle may have gone silent for good, so reuse is bounded in idle time
 * and age, and work that may not run twice needs a fresh proof.
 */

/** Bounds of reuse, in milliseconds. */
export type ReuseConfig = {
	/** Below the idle limit of every middlebox and of the executor. */
	readonly maxIdleMs: number;
	readonly maxAgeMs: number;
	/** How long after received bytes a connection counts as just proved. */
	readonly provedForMs: number;
};

/** Settings that the bench `faults` was measured with. */
export const defaultReuseConfig: ReuseConfig = {
	maxIdleMs: 4000,
	maxAgeMs: 300_000,
	provedForMs: 250,
};

/** What is known of one connection. Times in milliseconds. */
export type ConnectionState = {
	readonly openedAt: number;
	/** When it was made or last received bytes. */
	readonly provedAt: number;
	/** Never carries another request. */
	readonly retired: boolean;
};

/** What the request asks of its connection. */
export type ReuseRequirements = {
	/** True if the request may run twice. */
	readonly repeatable: boolean;
	/** Since when the executor's connections are in doubt, if they are. */
	readonly suspectedAt: number | undefined;
};

/** True if an idle connection may still be kept. */
export const canKeep = (
	facts: ConnectionState,
	cfg: ReuseConfig,
	now: number,
): boolean =>
	!facts.retired &&
	now - facts.provedAt < cfg.maxIdleMs &&
	now - facts.openedAt < cfg.maxAgeMs;

/** True if an idle connection may carry this request. */
export const canReuse = (
	facts: ConnectionState,
	cfg: ReuseConfig,
	needs: ReuseRequirements,
	now: number,
): boolean => {
	if (!canKeep(facts, cfg, now)) {
		return false;
	}

	if (needs.suspectedAt !== undefined && facts.provedAt < needs.suspectedAt) {
		return false;
	}

	return needs.repeatable || now - facts.provedAt <= cfg.provedForMs;
};

/** The reusable connection that was proved last. */
export const chooseConnection = <Connection extends ConnectionState>(
	idle: Iterable<Connection>,
	cfg: ReuseConfig,
	needs: ReuseRequirements,
	now: number,
): Connection | undefined => {
	let best: Connection | undefined;
	for (const each of idle) {
		const newer = best === undefined || each.provedAt > best.provedAt;
		if (newer && canReuse(each, cfg, needs, now)) {
			best = each;
		}
	}

	return best;
};

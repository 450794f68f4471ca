/** How many more instances each budget lets a wave take now. */
import {getUsage} from '../budget/ledger.js';
import type {InstanceFacts, WaveFacts} from './facts.js';
import type {Progress} from './progress.js';

/** Takes still open, by service; read once from each ledger, then counted. */
export type Allowance = {
	/** Counts one take on all services of the pool, if all have one left. */
	readonly tryReserve: (pool: string) => boolean;
};

/**
 * Opens an account of what is left. With claims, members that are being
 * emptied count as taken already, but for the lookahead.
 */
export const createAllowance = (
	progress: Progress,
	facts: WaveFacts,
	hasClaims: boolean,
): Allowance => {
	const left = new Map<string, number>();
	const unpromised = new Map<string, number>();
	const getLeft = (service: string): number => {
		const known = left.get(service);
		if (known !== undefined) {
			return known;
		}

		const ledger = facts.ledgers.get(service);
		if (!ledger) {
			return 0;
		}

		const usage = getUsage(ledger, facts.reserves.get(service));
		const claimed = hasClaims
			? (progress.claims.get(service) ?? 0) - progress.wave.settings.lookahead
			: 0;
		return usage.left - claimed;
	};

	/** A pool that no service runs on is bounded by a share of its size. */
	const useUnpromised = (pool: string): boolean => {
		const size = progress.sizes.get(pool) ?? 0;
		const {unpromisedShare} = progress.wave.settings;
		const most = Math.max(1, Math.floor(size * unpromisedShare));
		const atWork = hasClaims ? (progress.activeByPool.get(pool) ?? 0) : 0;
		const used = (unpromised.get(pool) ?? 0) + 1;
		unpromised.set(pool, used);
		return atWork + used <= most;
	};

	const use = (pool: string): boolean => {
		const services = facts.servicesByPool.get(pool) ?? [];
		if (services.length === 0) {
			return useUnpromised(pool);
		}

		if (services.some((service) => getLeft(service) < 1)) {
			return false;
		}

		for (const service of services) {
			left.set(service, getLeft(service) - 1);
		}

		return true;
	};

	return {tryReserve: use};
};

/** True if a ledger holds the instance as lost. */
export const isLostInLedger = (
	{id, pool}: InstanceFacts,
	{servicesByPool, ledgers}: WaveFacts,
): boolean =>
	(servicesByPool.get(pool) ?? []).some(
		(service) => ledgers.get(service)?.entries[id]?.kind === 'lost',
	);

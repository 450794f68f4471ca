/** How many more instances each budget allows a wave to withdraw now. */
import {getUsage} from '../budget/ledger.js';
import type {InstanceFacts, WaveFacts} from './facts.js';
import type {Progress} from './progress.js';

/**
 * Remaining withdrawals by service, read once from each ledger and counted
 * down.
 */
export type Allowance = {
	/**
	 * Reserves one withdrawal from every service of the pool; false if any has
	 * none left.
	 */
	readonly tryReserve: (pool: string) => boolean;
};

/**
 * Creates an allowance from the ledgers. With `countsClaims`, evacuating
 * members beyond the lookahead count as withdrawn.
 */
export const createAllowance = (
	progress: Progress,
	facts: WaveFacts,
	countsClaims: boolean,
): Allowance => {
	const remaining = new Map<string, number>();
	const reservedByPool = new Map<string, number>();
	const getRemaining = (service: string): number => {
		const known = remaining.get(service);
		if (known !== undefined) {
			return known;
		}

		const ledger = facts.ledgers.get(service);
		if (!ledger) {
			return 0;
		}

		const usage = getUsage(ledger, facts.reserves.get(service));
		const claimed = countsClaims
			? (progress.claims.get(service) ?? 0) - progress.wave.settings.lookahead
			: 0;
		return usage.left - claimed;
	};

	/** Limits a pool without services to a share of its size. */
	const tryReserveWithoutService = (pool: string): boolean => {
		const size = progress.sizes.get(pool) ?? 0;
		const {unpromisedShare} = progress.wave.settings;
		const limit = Math.max(1, Math.floor(size * unpromisedShare));
		const active = countsClaims ? (progress.activeByPool.get(pool) ?? 0) : 0;
		const reserved = (reservedByPool.get(pool) ?? 0) + 1;
		reservedByPool.set(pool, reserved);
		return active + reserved <= limit;
	};

	const tryReserve = (pool: string): boolean => {
		const services = facts.servicesByPool.get(pool) ?? [];
		if (services.length === 0) {
			return tryReserveWithoutService(pool);
		}

		if (services.some((service) => getRemaining(service) < 1)) {
			return false;
		}

		for (const service of services) {
			remaining.set(service, getRemaining(service) - 1);
		}

		return true;
	};

	return {tryReserve};
};

/** Whether the ledger of a service on its pool records the instance as lost. */
export const isLostInLedger = (
	{id, pool}: InstanceFacts,
	{servicesByPool, ledgers}: WaveFacts,
): boolean =>
	(servicesByPool.get(pool) ?? []).some(
		(service) => ledgers.get(service)?.entries[id]?.kind === 'lost',
	);

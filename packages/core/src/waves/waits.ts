/** Why a wave waits, for operators. Source: docs/operators/when-a-wave-waits.md. */
import {findReturnBlocker} from '../budget/return-instance.js';
import {getRefusal, type BudgetRefusal} from '../budget/withdraw-instances.js';
import type {WaveContext} from './context.js';
import type {RunningJob} from './facts.js';
import type {Member} from './progress.js';

/** One thing that a wave waits for. */
export type WaveWait =
	| {readonly kind: 'paused'}
	/** A budget has nothing left; the refusal names the contract. */
	| {
			readonly kind: 'budget';
			readonly pool: string;
			readonly refusal: BudgetRefusal;
	  }
	/** Budgets allow more, but emptying costs more than the delay so far. */
	| {
			readonly kind: 'put-off';
			readonly pool: string;
			readonly instances: number;
	  }
	/** The job that is expected to hold the instance longest. */
	| {
			readonly kind: 'job';
			readonly instance: string;
			readonly job: string;
			readonly remainingMs: number;
			readonly isMovable: boolean;
	  }
	/** Entries that have not let go; the daemon's status names them. */
	| {
			readonly kind: 'drain';
			readonly instance: string;
			readonly sinceMs: number;
	  }
	| {
			readonly kind: 'restart';
			readonly instance: string;
			readonly sinceMs: number;
	  }
	| {readonly kind: 'proof'; readonly instance: string}
	| {readonly kind: 'lost'; readonly instance: string};

const getLongest = (jobs: readonly RunningJob[]): RunningJob | undefined => {
	let longest: RunningJob | undefined;
	for (const job of jobs) {
		if (longest === undefined || job.remainingMs > longest.remainingMs) {
			longest = job;
		}
	}

	return longest;
};

/** What one active instance waits for. */
const getMemberWait = (
	{progress, facts, now}: WaveContext,
	{id: instance, phase}: Member,
): WaveWait | undefined => {
	const seen = facts.instances.get(instance);
	if (seen === undefined) {
		return undefined;
	}

	if (phase.kind === 'evacuating') {
		const job = getLongest(seen.jobs);
		return (
			job && {
				kind: 'job',
				instance,
				job: job.id,
				remainingMs: job.remainingMs,
				isMovable: job.movability !== 'none',
			}
		);
	}

	if (phase.kind !== 'taken') {
		return undefined;
	}

	if (phase.isLost) {
		return {kind: 'lost', instance};
	}

	const sinceMs = now - phase.since;
	if (seen.state === 'draining') {
		return {kind: 'drain', instance, sinceMs};
	}

	const {returns} = progress.wave.settings;
	return findReturnBlocker(seen.evidence, returns) === 'not-proved'
		? {kind: 'proof', instance}
		: {kind: 'restart', instance, sinceMs};
};

/** Why no more of a pool is begun. */
const getPoolWait = (
	{progress, facts}: WaveContext,
	pool: string,
): WaveWait | undefined => {
	const services = facts.servicesByPool.get(pool) ?? [];
	for (const service of services) {
		const ledger = facts.ledgers.get(service);
		const reserve = facts.reserves.get(service) ?? 0;
		const refusal = ledger && getRefusal(ledger, reserve);
		if (refusal) {
			return {kind: 'budget', pool, refusal};
		}
	}

	const claimed = services.some(
		(service) => (progress.claims.get(service) ?? 0) > 0,
	);
	const instances = progress.remainingByPool.get(pool) ?? 0;
	return claimed ? undefined : {kind: 'put-off', pool, instances};
};

const getPendingPools = ({progress}: WaveContext): ReadonlySet<string> => {
	const pools = new Set<string>();
	for (const domain of progress.pendingDomains) {
		for (const {pool, phase} of progress.domains.get(domain) ?? []) {
			if (phase.kind === 'pending') {
				pools.add(pool);
			}
		}
	}

	return pools;
};

/** Lists what the wave waits for: instances at work first, then pools. */
export const listWaits = (
	context: WaveContext,
	limit: number,
): readonly WaveWait[] => {
	const {progress} = context;
	const waits: WaveWait[] = [];
	if (progress.wave.state === 'paused') {
		waits.push({kind: 'paused'});
	}

	for (const domain of progress.activeDomains) {
		for (const member of progress.domains.get(domain) ?? []) {
			const wait = getMemberWait(context, member);
			if (wait) {
				waits.push(wait);
			}
		}
	}

	if (progress.wave.state === 'running') {
		for (const pool of getPendingPools(context)) {
			const wait = getPoolWait(context, pool);
			if (wait) {
				waits.push(wait);
			}
		}
	}

	return waits.slice(0, limit);
};

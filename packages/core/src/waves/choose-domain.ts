/**
 * Chooses the rack to evacuate next. Among a window of pending racks the
 * highest score wins: the time saved on the services that delay the wave most,
 * less the cost of evacuating now. A rack that is expensive to evacuate keeps
 * running until its delay has cost as much as its evacuation (the break-even
 * rule of ski rental); meanwhile its long jobs may end, and new jobs go to
 * maintained workers.
 */
import {getUsage} from '../budget/ledger.js';
import {createAllowance, isLostInLedger} from './allowance.js';
import {planEvacuation} from './evacuation.js';
import type {WaveContext} from './context.js';
import type {WaveFacts} from './facts.js';
import type {Member, Progress} from './progress.js';

const hourMs = 3_600_000;
/**
 * Multiple of the minimum remaining time that is kept free before the deadline.
 */
const urgencyFactor = 3;

/** A rack, or part of one, that may be evacuated now. */
export type DomainChoice = {
	readonly domain: string;
	readonly instances: readonly string[];
	/**
	 * False if a budget, a lost instance or the cost excludes part of the rack.
	 */
	readonly isWhole: boolean;
	readonly score: number;
};

/**
 * Withdrawals that the tightest budget of a pool allows while nothing is lost;
 * at least 1.
 */
const getMaxConcurrent = (facts: WaveFacts, pool: string): number => {
	let max = Number.MAX_SAFE_INTEGER;
	for (const service of facts.servicesByPool.get(pool) ?? []) {
		const ledger = facts.ledgers.get(service);
		if (ledger) {
			const spare =
				getUsage(ledger).total -
				ledger.terms.keepExecutors -
				(facts.reserves.get(service) ?? 0);
			max = Math.min(max, ledger.terms.maxAway, spare);
		}
	}

	return Math.max(1, max);
};

/** Minimum rounds of withdrawals that a pool still needs. */
export const getMinRounds = (
	progress: Progress,
	facts: WaveFacts,
	pool: string,
): number =>
	Math.ceil(
		(progress.remainingByPool.get(pool) ?? 0) / getMaxConcurrent(facts, pool),
	);

/** Minimum rounds of the pool that needs the most. */
const getMaxRounds = (progress: Progress, facts: WaveFacts): number => {
	let max = 1;
	for (const pool of progress.remainingByPool.keys()) {
		max = Math.max(max, getMinRounds(progress, facts, pool));
	}

	return max;
};

const isReady = (member: Member, facts: WaveFacts): boolean => {
	const instance = facts.instances.get(member.id);
	return (
		member.phase.kind === 'pending' &&
		instance?.state === 'serving' &&
		instance.evidence.listed === 'live' &&
		!isLostInLedger(instance, facts)
	);
};

/** Ready members of a rack that fit into every budget together. */
const getAllowed = (
	progress: Progress,
	facts: WaveFacts,
	members: readonly Member[],
): readonly Member[] => {
	const allowance = createAllowance(progress, facts, true);
	return members.filter(
		(member) => isReady(member, facts) && allowance.tryReserve(member.pool),
	);
};

const getEvacuationCost = (
	{progress, facts, now}: WaveContext,
	member: Member,
): number => {
	const {cores, jobs} = facts.instances.get(member.id)!;
	const {settings, deadline} = progress.wave;
	return planEvacuation({
		cores,
		jobs,
		weights: settings.weights,
		waitedMs: 0,
		untilDeadlineMs: deadline - now - settings.cycleMs,
	}).cost;
};

/** Time in milliseconds since a member of the pool last changed its phase. */
const getDelay = ({progress, now}: WaveContext, pool: string): number => {
	const {startedAt} = progress.wave;
	return now - Math.max(startedAt ?? now, progress.changedAt.get(pool) ?? 0);
};

/** Whether a pool must proceed regardless of cost. */
const isUrgent = (context: WaveContext, pool: string): boolean => {
	const {progress, facts, now} = context;
	const {settings, deadline} = progress.wave;
	const neededMs = getMinRounds(progress, facts, pool) * settings.cycleMs;
	return (
		deadline - now < urgencyFactor * neededMs ||
		getDelay(context, pool) >= settings.deferWithinMs
	);
};

/**
 * Cost of the delay since a member of the pool last changed its phase; infinite
 * if the pool is urgent.
 */
const getDelayCost = (context: WaveContext, pool: string): number => {
	const {rollOutHours} = context.progress.wave.settings.weights;
	return isUrgent(context, pool)
		? Number.POSITIVE_INFINITY
		: (rollOutHours * getDelay(context, pool)) / hourMs;
};

/** A member with the cost of evacuating it and the cost of its delay so far. */
type Candidate = {
	readonly member: Member;
	readonly cost: number;
	readonly delayCost: number;
};

const createCandidate = (context: WaveContext, member: Member): Candidate => ({
	member,
	cost: getEvacuationCost(context, member),
	delayCost: getDelayCost(context, member.pool),
});

/**
 * Returns the candidates whose delay has cost as much as their evacuation,
 * compared as a group first and then one by one.
 */
const getDue = (candidates: readonly Candidate[]): readonly Candidate[] => {
	const cost = candidates.reduce((sum, each) => sum + each.cost, 0);
	const delay = candidates.reduce((sum, each) => sum + each.delayCost, 0);
	return delay >= cost
		? candidates
		: candidates.filter((each) => each.delayCost >= each.cost);
};

const getScore = (
	{progress, facts}: WaveContext,
	due: readonly Candidate[],
	maxRounds: number,
): number => {
	const {weights, cycleMs} = progress.wave.settings;
	const costPerCycle = (weights.rollOutHours * cycleMs) / hourMs;
	let score = 0;
	for (const {member, cost} of due) {
		const rounds = getMinRounds(progress, facts, member.pool);
		score += (costPerCycle * rounds) / maxRounds - cost;
	}

	return score / due.length;
};

/** Whether the rack exceeds its budgets even while nothing is lost. */
const isTooLarge = (facts: WaveFacts, members: readonly Member[]): boolean => {
	const counts = new Map<string, number>();
	for (const {pool} of members) {
		const count = (counts.get(pool) ?? 0) + 1;
		counts.set(pool, count);
		if (count > getMaxConcurrent(facts, pool)) {
			return true;
		}
	}

	return false;
};

const createChoice = (
	context: WaveContext,
	domain: string,
	maxRounds: number,
): DomainChoice | undefined => {
	const {progress, facts} = context;
	const members = progress.domains.get(domain) ?? [];
	const allowed = getAllowed(progress, facts, members);
	const due = getDue(allowed.map((each) => createCandidate(context, each)));
	const pending = members.filter(({phase}) => phase.kind === 'pending');
	const isWhole = due.length === pending.length;
	const {domains} = progress.wave.settings;
	const mayBePartial = domains === 'prefer-whole' || isTooLarge(facts, members);
	if (due.length === 0 || (!isWhole && !mayBePartial)) {
		return undefined;
	}

	const score = getScore(context, due, maxRounds);
	const instances = due.map(({member}) => member.id);
	return {domain, instances, isWhole, score};
};

const isBetter = (one: DomainChoice, other: DomainChoice): boolean =>
	one.isWhole === other.isWhole ? one.score > other.score : one.isWhole;

/**
 * Compares up to `window` pending racks, starting where the last call ended.
 * With the order `by-availability-zone`, a choice restarts the next call at the
 * first pending rack.
 */
export const chooseDomain = (
	context: WaveContext,
	window: number,
): DomainChoice | undefined => {
	const {progress, facts} = context;
	const {pendingDomains, cursors} = progress;
	const size = Math.min(window, pendingDomains.length);
	const maxRounds = getMaxRounds(progress, facts);
	let best: DomainChoice | undefined;
	for (let step = 0; step < size; step += 1) {
		const domain =
			pendingDomains[(cursors.pending + step) % pendingDomains.length]!;
		const choice = createChoice(context, domain, maxRounds);
		if (choice && (best === undefined || isBetter(choice, best))) {
			best = choice;
		}
	}

	const isZoneOrder = progress.wave.settings.order === 'by-availability-zone';
	const from = isZoneOrder && best ? 0 : cursors.pending + size;
	cursors.pending = from % Math.max(1, pendingDomains.length);
	return best;
};

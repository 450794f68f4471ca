/**
 * Which rack is emptied next. Of a window of pending racks the best score
 * wins: the time that its instances save on the services that hold the wave
 * up longest, less the cost of emptying them now. A rack that is dear to
 * empty keeps working until the delay has cost as much as emptying it (the
 * break-even rule of ski rental); by then its long jobs may have ended, and
 * new ones go to workers that are done.
 */
import {getUsage} from '../budget/ledger.js';
import {createAllowance, isLostInLedger} from './allowance.js';
import {planEvacuation} from './evacuation.js';
import type {WaveContext} from './context.js';
import type {WaveFacts} from './facts.js';
import type {Member, Progress} from './progress.js';

const hourMs = 3_600_000;
/** Times the least time needed that is kept free before the deadline. */
const urgentFactor = 3;

/** A rack, or a part of it, that may be emptied now. */
export type DomainChoice = {
	readonly domain: string;
	readonly instances: readonly string[];
	/** False if a budget or a loss leaves some of the rack out. */
	readonly isWhole: boolean;
	readonly score: number;
};

/** Takes that a pool's tightest budget allows at best, with nothing lost. */
const getBestCase = (facts: WaveFacts, pool: string): number => {
	let best = Number.MAX_SAFE_INTEGER;
	for (const service of facts.servicesByPool.get(pool) ?? []) {
		const ledger = facts.ledgers.get(service);
		if (ledger) {
			const spare =
				getUsage(ledger).total -
				ledger.terms.keepExecutors -
				(facts.reserves.get(service) ?? 0);
			best = Math.min(best, ledger.terms.maxAway, spare);
		}
	}

	return Math.max(1, best);
};

/** Rounds that a pool still needs at best. */
export const getMinRounds = (
	progress: Progress,
	facts: WaveFacts,
	pool: string,
): number =>
	Math.ceil(
		(progress.remainingByPool.get(pool) ?? 0) / getBestCase(facts, pool),
	);

/** Rounds of the pool that needs the most. */
const getMostRounds = (progress: Progress, facts: WaveFacts): number => {
	let most = 1;
	for (const pool of progress.remainingByPool.keys()) {
		most = Math.max(most, getMinRounds(progress, facts, pool));
	}

	return most;
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

/** Members of a rack that every budget has room for, one after another. */
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

/** Time since the pool last went on, in milliseconds. */
const getDelay = ({progress, now}: WaveContext, pool: string): number => {
	const {startedAt} = progress.wave;
	return now - Math.max(startedAt ?? now, progress.changedAt.get(pool) ?? 0);
};

/** True if a pool must go on now, whatever it costs. */
const isUrgent = (context: WaveContext, pool: string): boolean => {
	const {progress, facts, now} = context;
	const {settings, deadline} = progress.wave;
	const neededMs = getMinRounds(progress, facts, pool) * settings.cycleMs;
	return (
		deadline - now < urgentFactor * neededMs ||
		getDelay(context, pool) >= settings.deferWithinMs
	);
};

/** What the delay of a pool since it last went on has cost. */
const getDelayCost = (context: WaveContext, pool: string): number => {
	const {rollOutHours} = context.progress.wave.settings.weights;
	return isUrgent(context, pool)
		? Number.POSITIVE_INFINITY
		: (rollOutHours * getDelay(context, pool)) / hourMs;
};

/** A member with what emptying it costs and what its delay has cost. */
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

/** The candidates whose time has come: all together, or each by itself. */
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
	mostRounds: number,
): number => {
	const {weights, cycleMs} = progress.wave.settings;
	const perCycle = (weights.rollOutHours * cycleMs) / hourMs;
	let score = 0;
	for (const {member, cost} of due) {
		const rounds = getMinRounds(progress, facts, member.pool);
		score += (perCycle * rounds) / mostRounds - cost;
	}

	return score / due.length;
};

/** True if the rack can never be taken whole within its budgets. */
const isTooLarge = (facts: WaveFacts, members: readonly Member[]): boolean => {
	const counts = new Map<string, number>();
	for (const {pool} of members) {
		const count = (counts.get(pool) ?? 0) + 1;
		counts.set(pool, count);
		if (count > getBestCase(facts, pool)) {
			return true;
		}
	}

	return false;
};

const createChoice = (
	context: WaveContext,
	domain: string,
	mostRounds: number,
): DomainChoice | undefined => {
	const {progress, facts} = context;
	const members = progress.domains.get(domain) ?? [];
	const allowed = getAllowed(progress, facts, members);
	const due = getDue(allowed.map((each) => createCandidate(context, each)));
	const pending = members.filter(({phase}) => phase.kind === 'pending');
	const isWhole = due.length === pending.length;
	const {domains} = progress.wave.settings;
	const mayBePart = domains === 'prefer-whole' || isTooLarge(facts, members);
	if (due.length === 0 || (!isWhole && !mayBePart)) {
		return undefined;
	}

	const score = getScore(context, due, mostRounds);
	const instances = due.map(({member}) => member.id);
	return {domain, instances, isWhole, score};
};

const isBetter = (one: DomainChoice, other: DomainChoice): boolean =>
	one.isWhole === other.isWhole ? one.score > other.score : one.isWhole;

/**
 * Compares up to `window` pending racks, from where the last call ended; if
 * zones go one after another, from the first that still waits.
 */
export const chooseDomain = (
	context: WaveContext,
	window: number,
): DomainChoice | undefined => {
	const {progress, facts} = context;
	const {pendingDomains, cursors} = progress;
	const size = Math.min(window, pendingDomains.length);
	const mostRounds = getMostRounds(progress, facts);
	let best: DomainChoice | undefined;
	for (let step = 0; step < size; step += 1) {
		const domain =
			pendingDomains[(cursors.pending + step) % pendingDomains.length]!;
		const choice = createChoice(context, domain, mostRounds);
		if (choice && (best === undefined || isBetter(choice, best))) {
			best = choice;
		}
	}

	const isInOrder = progress.wave.settings.order === 'by-availability-zone';
	const from = isInOrder && best ? 0 : cursors.pending + size;
	cursors.pending = from % Math.max(1, pendingDomains.length);
	return best;
};

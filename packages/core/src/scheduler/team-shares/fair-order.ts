/**
 * Weighted max-min order of jobs by the dominant shares of their teams (DRF,
 * Ghodsi et al., NSDI 2011), by progressive filling: the next job is the first
 * one of the team with the smallest share for its weight, and its demand then
 * counts as held by the team. It addresses a team that sends more than its part
 * while room is short, whose jobs would otherwise fill the room in the order of
 * their value.
 */
import type {Resources} from '../state/types.js';
import {
	addTo,
	createSum,
	getDominantShare,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';

/** A job that may ask for room. */
export type RoomClaim = {
	readonly team: TeamKey;
	/** Demand of the tasks that could start now. */
	readonly demand: Resources;
};

/** What the teams are owed and hold. */
export type Holdings = {
	readonly capacity: Resources;
	/** What each team holds, running and recently used. */
	readonly held: ReadonlyMap<TeamKey, Resources>;
	readonly getWeight: (team: TeamKey) => number;
};

type TeamFilling = {
	readonly held: ResourceSum;
	readonly weight: number;
	/** Dominant share of what is held, divided by the weight. */
	weightedShare: number;
};

/** What the teams hold if all jobs so far get their room. */
export type Filling = {
	readonly holdings: Holdings;
	readonly teams: Map<TeamKey, TeamFilling>;
};

/** Creates a filling in which no job has got its room yet. */
export const createFilling = (holdings: Holdings): Filling => ({
	holdings,
	teams: new Map(),
});

/** Weight of jobs without a team and of teams whose weight is not known. */
const defaultWeight = 1;

/** Returns a weight to divide by: the default for any that is not positive. */
export const toWeight = (weight: number | undefined): number =>
	weight !== undefined && weight > 0 && Number.isFinite(weight)
		? weight
		: defaultWeight;

const addDemand = (
	{holdings}: Filling,
	team: TeamFilling,
	demand: Resources,
): void => {
	addTo(team.held, demand);
	team.weightedShare =
		getDominantShare(team.held, holdings.capacity) / team.weight;
};

const getTeam = (filling: Filling, key: TeamKey): TeamFilling => {
	const known = filling.teams.get(key);
	if (known) {
		return known;
	}

	const {held, getWeight} = filling.holdings;
	const weight = toWeight(getWeight(key));
	const team: TeamFilling = {held: createSum(), weight, weightedShare: 0};
	addDemand(filling, team, held.get(key) ?? createSum());
	filling.teams.set(key, team);
	return team;
};

/** The jobs of one team that are not in the order yet. */
type Queue = {
	readonly team: TeamFilling;
	/** Positions in the given order, ascending. */
	readonly positions: number[];
	next: number;
};

const createQueues = (
	filling: Filling,
	claims: readonly RoomClaim[],
): Queue[] => {
	const queues = new Map<TeamKey, Queue>();
	for (const [position, {team: key}] of claims.entries()) {
		const queue = queues.get(key);
		if (queue) {
			queue.positions.push(position);
		} else {
			const team = getTeam(filling, key);
			queues.set(key, {team, positions: [position], next: 0});
		}
	}

	return [...queues.values()];
};

const getPosition = ({positions, next}: Queue): number =>
	positions[next] ?? Number.POSITIVE_INFINITY;

/** Equal teams are served in the order that their jobs came in. */
const isBefore = (one: Queue, two: Queue): boolean => {
	const difference = one.team.weightedShare - two.team.weightedShare;
	return (
		difference < 0 || (difference === 0 && getPosition(one) < getPosition(two))
	);
};

const findFirst = (queues: readonly Queue[]): Queue | undefined => {
	let first: Queue | undefined;
	for (const queue of queues) {
		if (queue.next < queue.positions.length) {
			first = first && !isBefore(queue, first) ? first : queue;
		}
	}

	return first;
};

/**
 * Orders jobs of equal rank and adds their demands to the filling. The jobs of
 * one team keep their order.
 */
export const orderByShare = <Claim extends RoomClaim>(
	filling: Filling,
	claims: readonly Claim[],
): readonly Claim[] => {
	const queues = createQueues(filling, claims);
	const ordered: Claim[] = [];
	for (let queue = findFirst(queues); queue; queue = findFirst(queues)) {
		const claim = claims[getPosition(queue)];
		queue.next += 1;
		if (claim) {
			ordered.push(claim);
			addDemand(filling, queue.team, claim.demand);
		}
	}

	return ordered;
};

/** Adds the demands of jobs whose order stays. */
export const addClaims = (
	filling: Filling,
	claims: readonly RoomClaim[],
): void => {
	for (const {team, demand} of claims) {
		addDemand(filling, getTeam(filling, team), demand);
	}
};

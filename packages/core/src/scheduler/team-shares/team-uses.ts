/** What the teams of a service run, have used recently and wait for. */
import type {Resources} from '../state/types.js';
import {
	addTo,
	createSum,
	getDominantShare,
	getSum,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';
import {toWeight, type Holdings} from './fair-order.js';
import type {TeamRoom} from './room-shares.js';
import type {WaitingJob} from './waiting-jobs.js';

/** Resources by team. */
export type TeamUses = {
	readonly running: ReadonlyMap<TeamKey, Resources>;
	readonly recent: ReadonlyMap<TeamKey, Resources>;
	readonly waiting: ReadonlyMap<TeamKey, Resources>;
};

const listTeams = ({running, waiting}: TeamUses): readonly TeamKey[] => [
	...new Set([...running.keys(), ...waiting.keys()]),
];

/** Describes the teams that run or wait for something. */
export const describeTeams = (
	uses: TeamUses,
	{capacity, getWeight}: Holdings,
): readonly TeamRoom[] => {
	const getShare = (of: ReadonlyMap<TeamKey, Resources>, team: TeamKey) =>
		getDominantShare(of.get(team) ?? createSum(), capacity);
	return listTeams(uses).map((team) => ({
		team,
		weight: toWeight(getWeight(team)),
		running: getShare(uses.running, team),
		recent: getShare(uses.recent, team),
		waiting: getShare(uses.waiting, team),
	}));
};

/** Sums what runs and the recent use. */
export const sumHeld = ({
	running,
	recent,
}: TeamUses): ReadonlyMap<TeamKey, Resources> => {
	const held = new Map<TeamKey, ResourceSum>();
	for (const uses of [running, recent]) {
		for (const [team, use] of uses) {
			addTo(getSum(held, team), use);
		}
	}

	return held;
};

/** Sums what the tasks that could start now would take. */
export const sumWaitingByTeam = (
	jobs: readonly WaitingJob[],
): ReadonlyMap<TeamKey, ResourceSum> => {
	const sums = new Map<TeamKey, ResourceSum>();
	for (const {team, demand, steps} of jobs) {
		if (steps.length > 0) {
			addTo(getSum(sums, team), demand);
		}
	}

	return sums;
};

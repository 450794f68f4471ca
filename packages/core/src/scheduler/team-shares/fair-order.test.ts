/**
 * Guards against a team that takes the room of others while room is short. The
 * loads are replayed as plain numbers.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import type {Resources} from '../state/types.js';
import {
	addTo,
	createSum,
	getDominantShare,
	getSum,
	type ResourceSum,
	type TeamKey,
} from './dominant-share.js';
import {createFilling, orderByShare, toWeight} from './fair-order.js';
import {noRecentUse, updateRecentUse} from './recent-use.js';

const toResources = (cpu: number, memory = cpu): Resources => ({
	cpuMillis: 1000 * cpu,
	memoryMb: memory,
	accelerators: 0,
});

/** A team that submits jobs of one task, which take a second each. */
type Load = {
	readonly team: string;
	readonly weight?: number;
	readonly perSecond: number;
	readonly task: Resources;
};

const tickMs = 100;

const fits = (used: Resources, added: Resources, capacity: Resources) =>
	used.cpuMillis + added.cpuMillis <= capacity.cpuMillis &&
	used.memoryMb + added.memoryMb <= capacity.memoryMb;

type Run = {
	readonly team: string;
	readonly demand: Resources;
	readonly endsAt: number;
};

const listArrivals = (loads: readonly Load[], now: number) =>
	loads.flatMap(({team, perSecond, task}) => {
		const countUntil = (at: number) => Math.floor((at * perSecond) / 1000);
		const count = countUntil(now + tickMs) - countUntil(now);
		return Array.from({length: count}, () => ({team, demand: task}));
	});

const sumByTeam = (uses: Iterable<readonly [TeamKey, Resources]>) => {
	const sums = new Map<TeamKey, ResourceSum>();
	for (const [team, use] of uses) {
		addTo(getSum(sums, team), use);
	}

	return sums;
};

/** Returns the mean dominant share of each team over ten seconds. */
const replay = (loads: readonly Load[], capacity: Resources) => {
	const weights = new Map(loads.map(({team, weight}) => [team, weight]));
	const getWeight = (team: TeamKey) => toWeight(weights.get(team ?? ''));
	const served = new Map<string, number>();
	const waiting = new Set<{team: string; demand: Resources}>();
	let recent = noRecentUse;
	let runs: readonly Run[] = [];
	for (let now = 0; now < 10_000; now += tickMs) {
		runs = runs.filter(({endsAt}) => endsAt > now);
		for (const job of listArrivals(loads, now)) {
			waiting.add(job);
		}

		const running = sumByTeam(
			runs.map(({team, demand}) => [team, demand] as const),
		);
		recent = updateRecentUse(recent, running, now);
		const held = sumByTeam([...running, ...recent.means]);
		const filling = createFilling({capacity, held, getWeight});
		const used = createSum();
		for (const {demand} of runs) {
			addTo(used, demand);
		}

		const started: Run[] = [];
		for (const job of orderByShare(filling, [...waiting])) {
			if (fits(used, job.demand, capacity)) {
				addTo(used, job.demand);
				started.push({...job, endsAt: now + 1000});
				waiting.delete(job);
			}
		}

		runs = [...runs, ...started];
		for (const {team, demand} of runs) {
			const share = getDominantShare(demand, capacity) * (tickMs / 10_000);
			served.set(team, (served.get(team) ?? 0) + share);
		}
	}

	return served;
};

const flood = (perSecond: number): readonly Load[] => [
	{team: 'flood', perSecond: 8 * perSecond, task: toResources(1)},
	...Array.from({length: 19}, (_, index) => ({
		team: `small-${index}`,
		perSecond,
		task: toResources(1),
	})),
];

const replays: ReadonlyArray<{
	readonly name: string;
	readonly loads: readonly Load[];
	readonly capacity: Resources;
	/** Fair share of each team, or what it asks for if that is less. */
	readonly fair: (load: Load) => number;
}> = [
	{
		name: 'a team with eight times its rate beside teams within their share',
		loads: flood(3.6),
		capacity: toResources(80),
		fair: ({team}) => (team === 'flood' ? 0.05 : 3.6 / 80),
	},
	{
		name: 'a team with eight times its rate while all want more',
		loads: flood(6),
		capacity: toResources(80),
		fair: () => 1 / 20,
	},
	{
		name: 'teams of weight 1 and 100',
		loads: [
			{team: 'one', weight: 1, perSecond: 300, task: toResources(1)},
			{team: 'hundred', weight: 100, perSecond: 300, task: toResources(1)},
		],
		capacity: toResources(202),
		fair: ({weight}) => (weight ?? 1) / 101,
	},
	{
		// The example of the DRF paper, ten times as large.
		name: 'memory-heavy beside cpu-heavy tasks',
		loads: [
			{team: 'memory', perSecond: 100, task: toResources(1, 4)},
			{team: 'cpu', perSecond: 100, task: toResources(3, 1)},
		],
		capacity: toResources(90, 180),
		fair: () => 2 / 3,
	},
	{
		name: 'a team of unknown weight counts as one of weight 1',
		loads: [
			{team: 'unknown', perSecond: 300, task: toResources(1)},
			{team: 'three', weight: 3, perSecond: 300, task: toResources(1)},
		],
		capacity: toResources(80),
		fair: ({weight}) => (weight ?? 1) / 4,
	},
];

for (const {name, loads, capacity, fair} of replays) {
	tap.t.test(`each team has nine tenths of its share: ${name}`, async (t) => {
		const served = replay(loads, capacity);
		for (const load of loads) {
			const part = (served.get(load.team) ?? 0) / fair(load);
			t.ok(part >= 0.9, `${load.team} has ${part.toFixed(3)} of its share`);
		}
	});
}

tap.t.test('recent use fades within seconds', async (t) => {
	const running = new Map([['a', toResources(4)]]);
	let recent = updateRecentUse(noRecentUse, running, 100);
	t.equal(recent.means.size, 0, 'a takeover begins without recent use');
	recent = updateRecentUse(recent, running, 5100);
	const half = recent.means.get('a')?.cpuMillis ?? 0;
	t.ok(Math.abs(half - 4000 * (1 - Math.exp(-1))) < 1);
	recent = updateRecentUse(recent, new Map(), 10_100);
	t.ok((recent.means.get('a')?.cpuMillis ?? 0) < 0.4 * half);
	t.equal(updateRecentUse(recent, new Map(), 90_000).means.size, 0);
});

const claimArbitrary = fc.record({
	team: fc.constantFrom(undefined, 'a', 'b', 'c', 'd'),
	demand: fc.record({
		cpuMillis: fc.integer({min: 0, max: 2000}),
		memoryMb: fc.integer({min: 0, max: 300}),
		accelerators: fc.integer({min: 0, max: 1}),
	}),
});

const weightArbitrary = fc.constantFrom(undefined, 0, Number.NaN, 0.5, 1, 100);

tap.t.test('no team is passed over by one with a larger share', async (t) => {
	const capacity = {cpuMillis: 9000, memoryMb: 1000, accelerators: 2};
	const property = fc.property(
		fc.array(claimArbitrary, {maxLength: 40}),
		fc.array(claimArbitrary, {maxLength: 4}),
		fc.array(weightArbitrary, {minLength: 5, maxLength: 5}),
		(claims, running, weights) => {
			const held = new Map<TeamKey, ResourceSum>();
			for (const {team, demand} of running) {
				addTo(getSum(held, team), demand);
			}

			const getWeight = (team: TeamKey) =>
				toWeight(weights['abcd'.indexOf(team ?? 'd')]);
			const filling = createFilling({capacity, held, getWeight});
			const ordered = orderByShare(filling, claims);
			const isPermutation =
				ordered.length === claims.length &&
				new Set(ordered).size === claims.length &&
				claims.every((each) => ordered.includes(each));
			const getShare = (team: TeamKey) =>
				getDominantShare(getSum(held, team), capacity) / getWeight(team);
			return (
				isPermutation &&
				ordered.every(({team, demand}, index) => {
					const share = getShare(team);
					addTo(getSum(held, team), demand);
					return ordered
						.slice(index + 1)
						.every(
							(later) => later.team === team || share <= getShare(later.team),
						);
				})
			);
		},
	);
	fc.assert(property, {seed: 11, numRuns: 500});
	t.pass();
});

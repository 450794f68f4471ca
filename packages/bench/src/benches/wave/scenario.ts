/** Sizes, fleets and failures of the wave benches. */
import {budget, type Instance} from '@gullstand/core';
import {drawBelow, drawExponential, type Random} from '../../frame/random.js';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Size of one deployment. */
export type Size = {
	readonly name: string;
	readonly workers: number;
	readonly pools: number;
	readonly availabilityZones: number;
	readonly perRack: number;
	readonly racksPerSwitch: number;
	readonly cores: number;
	readonly keep: (executors: number) => number;
	readonly maxAway: (executors: number) => number;
	readonly teams: number;
	/** Jobs that would run on one worker if all fitted. */
	readonly load: number;
};

/** Seven executors per service, of which two may be away. */
const currentSize = {
	workers: 35,
	pools: 5,
	availabilityZones: 3,
	perRack: 4,
	racksPerSwitch: 2,
	keep: (executors: number) => executors - 2,
	maxAway: () => 2,
	teams: 5,
	load: 0.65,
} as const;

/** The two current deployments and the planned size. */
export const sizes = {
	harrowby: {...currentSize, name: 'harrowby', cores: 32},
	isarwelle: {...currentSize, name: 'isarwelle', cores: 16},
	planned: {
		...currentSize,
		name: 'planned',
		workers: 3300,
		pools: 151,
		availabilityZones: 27,
		racksPerSwitch: 8,
		cores: 32,
		keep: (executors: number) => executors - 3,
		maxAway: () => 2,
		teams: 110,
	},
} as const satisfies Record<string, Size>;

/** Creates workers, spread over racks and availability zones. */
export const createInstances = (size: Size): Instance[] => {
	const racks = Math.ceil(size.workers / size.perRack);
	return Array.from({length: size.workers}, (_, index) => {
		const rack = index % racks;
		return {
			id: `w${index}`,
			kind: 'executor',
			address: `10.0.${Math.floor(index / 250)}.${index % 250}:80`,
			pool: `pool${Math.floor((index * size.pools) / size.workers)}`,
			epoch: 1,
			state: 'serving',
			region: `region${rack % 7}`,
			availabilityZone: `az${rack % size.availabilityZones}`,
			rack: `r${rack}`,
		};
	});
};

/** Creates the ledgers of one service per pool with the size's terms. */
export const createLedgers = (
	size: Size,
	instances: readonly Instance[],
): Map<string, budget.Ledger> => {
	const ledgers = new Map<string, budget.Ledger>();
	for (let pool = 0; pool < size.pools; pool += 1) {
		const ids = instances
			.filter((each) => each.pool === `pool${pool}`)
			.map(({id}) => id);
		const terms: budget.CombinedTerms = {
			keepExecutors: size.keep(ids.length),
			keepExecutorsFor: `customer${pool}`,
			maxAway: size.maxAway(ids.length),
			maxAwayFor: `customer${pool}`,
		};
		const service = `service${pool}`;
		ledgers.set(service, budget.createLedger(service, terms, ids));
	}

	return ledgers;
};

/** One failure: the instances that are down, from when and for how long. */
export type Outage = {
	readonly at: number;
	readonly forMs: number;
	readonly instances: readonly string[];
};

const pickDomain = (
	instances: readonly Instance[],
	random: Random,
	getKey: (instance: Instance) => string,
) => {
	const key = getKey(instances[drawBelow(random, instances.length)]!);
	return instances.filter((each) => getKey(each) === key).map(({id}) => id);
};

/** Outages of a rack, a switch and an availability zone at given hours. */
export const createDomainOutages = (
	size: Size,
	instances: readonly Instance[],
	random: Random,
	hours: readonly [rack: number, switchOver: number, zone: number],
): Outage[] => {
	const getSwitch = ({availabilityZone, rack}: Instance) => {
		const index = Math.floor(Number(rack.slice(1)) / size.availabilityZones);
		return `${availabilityZone}/${Math.floor(index / size.racksPerSwitch)}`;
	};

	const getKeys = [
		({rack}: Instance) => rack,
		getSwitch,
		({availabilityZone}: Instance) => availabilityZone,
	];
	const durations = [hourMs, hourMs / 2, 45 * minuteMs];
	return getKeys.map((getKey, index) => ({
		at: (hours[index]! + random()) * hourMs,
		forMs: durations[index]!,
		instances: pickDomain(instances, random, getKey),
	}));
};

/** Outages of one availability zone after another at regular intervals. */
export const createZoneOutages = (
	size: Size,
	instances: readonly Instance[],
	everyMs: number,
	times: readonly [from: number, to: number],
): Outage[] => {
	const outages: Outage[] = [];
	for (let at = times[0]; at < times[1]; at += everyMs) {
		const zone = `az${outages.length % size.availabilityZones}`;
		outages.push({
			at,
			forMs: everyMs / 4,
			instances: instances
				.filter((each) => each.availabilityZone === zone)
				.map(({id}) => id),
		});
	}

	return outages;
};

/** Failures and restarts of single instances at daily rates. */
export const createDailyOutages = (
	instances: readonly Instance[],
	random: Random,
	days: number,
	perDay: {readonly failures: number; readonly restarts: number},
): Outage[] => {
	const draw = (rate: number, meanMs: number): Outage[] =>
		Array.from({length: Math.round(rate * days)}, () => ({
			at: random() * days * dayMs,
			forMs: drawExponential(random, meanMs),
			instances: [instances[drawBelow(random, instances.length)]!.id],
		}));
	return [
		...draw(perDay.failures, 4 * hourMs),
		...draw(perDay.restarts, 8 * minuteMs),
	];
};

/** Turns expected rises into the input of a plan of the pools. */
import {type ExpectedRise, type ForecastState} from './forecast.js';

/** Expected demand of the pools, as input of a plan. */
export type ExpectedDemand = {
	/** Machines that are expected to be needed, by pool; none are 0. */
	readonly machines: ReadonlyMap<string, number>;
	/** Pools whose own rise has ended. */
	readonly endedRises: ReadonlySet<string>;
};

/** Largest part of all machines that may be expected, which bounds a miss. */
const maxShare = 0.5;

/**
 * Machines for the expected rises, in all at most half of the fleet. Those that
 * have begun come last, since their own demand asks for machines.
 */
const countExpectedMachines = (
	expected: ReadonlyMap<string, ExpectedRise>,
	machineCpu: number,
	machineCount: number,
): ReadonlyMap<string, number> => {
	const machines = new Map<string, number>();
	let left = Math.floor(machineCount * maxShare);
	const inOrder = [...expected.values()].toSorted(
		(one, two) =>
			Number(one.hasBegun) - Number(two.hasBegun) ||
			one.atEpochMs - two.atEpochMs,
	);
	for (const {pool, expectedCpu} of inOrder) {
		const count = Math.min(left, Math.ceil(expectedCpu / machineCpu));
		left -= count;
		if (count > 0) {
			machines.set(pool, count);
		}
	}

	return machines;
};

/** Returns the expected demand; undefined if no rise is expected. */
export const getExpectedDemand = (
	{rises, watches}: ForecastState,
	expected: ReadonlyMap<string, ExpectedRise>,
	fleet: {readonly machineCpu: number; readonly machineCount: number},
): ExpectedDemand | undefined => {
	const machines = countExpectedMachines(
		expected,
		fleet.machineCpu,
		fleet.machineCount,
	);
	return machines.size === 0
		? undefined
		: {
				machines,
				endedRises: new Set(
					rises
						.map(({pool}) => pool)
						.filter((each) => !watches.get(each)?.rise),
				),
			};
};

/** Guards against a service that never gets a machine again after its last. */
import {fleet, type scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {readFleetView} from './fleet-context.js';
import {
	createFleetPlatform,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

const durationMs = 5000;

const all = ['a', 'b', 'c'];

type Case = {
	readonly name: string;
	/** What the owner of the service reports. */
	readonly load: Partial<scheduler.ServiceLoad>;
	/** Machines of the service that the list has. */
	readonly listed: readonly string[];
	/** Machines of the service in the end. */
	readonly machines: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'it gets as many as its work needs',
		load: {waitingCpu: 500},
		listed: [],
		machines: ['b', 'c'],
	},
	{
		name: 'it gets some for work that has just come',
		load: {arrivingCpu: 500},
		listed: [],
		machines: ['b'],
	},
	{
		name: 'it gets none without work',
		load: {},
		listed: [],
		machines: [],
	},
	{
		name: 'it gets none while its executors take work',
		load: {waitingCpu: 500, capacityCpu: 1000},
		listed: [],
		machines: [],
	},
	{
		name: 'one that has a machine gets more',
		load: {waitingCpu: 500, capacityCpu: 1000},
		listed: ['a'],
		machines: ['a', 'b'],
	},
];

const createMover = (platform: FleetPlatform) =>
	createPoolMover(platform.context, {
		cfg: {
			...fleet.defaultPoolConfig,
			minCpu: 0,
			minShare: 0,
			spareMachines: 0,
			usesForecast: false,
		},
		getStandbyPool: () => 'standby',
		listServices: () => ['s'],
		isReserved: () => false,
		claims: createMachineClaims(platform.now),
		forecaster: {observe: () => undefined},
	});

for (const {name, load, listed, machines} of cases) {
	tap.t.test(`a service without a machine: ${name}`, async (t) => {
		const platform = createFleetPlatform(all);
		platform.move('b', 'standby');
		platform.move('c', 'standby');
		platform.setListed('a', listed.includes('a'));
		platform.advance(roundMs + 2000);
		platform.setLoad(load);
		const mover = createMover(platform);
		const end = platform.now() + durationMs;
		while (platform.now() < end) {
			const view = await readFleetView(platform.context);
			if (view) {
				await mover.runRound(view);
			}

			platform.advance(roundMs);
		}

		t.same(platform.violations, []);
		t.same(
			all.filter(
				(id) =>
					(id !== 'a' || listed.includes(id)) &&
					platform.getMachine(id)?.pool === 's',
			),
			machines,
		);
	});
}

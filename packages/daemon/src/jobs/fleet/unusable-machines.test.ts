/**
 * Guards against moving away the machines that serve a pool, since others are up
 * whose executors cannot be given work.
 */
import {fleet} from '@gullstand/core';
import * as tap from 'tap';
import {
	createFleetPlatform,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

/** Longer than a surplus lasts until machines leave. */
const durationMs = 3000;

/** Machines that the pool keeps at least. */
const minMachines = 3;

const createMover = (platform: FleetPlatform) =>
	createPoolMover(platform.context, {
		cfg: {
			...fleet.defaultPoolConfig,
			minCpu: minMachines * 1000,
			minShare: 0,
			spareMachines: 0,
			usesForecast: false,
		},
		getStandbyPool: () => 'standby',
		listServices: () => [],
		isReserved: () => false,
		claims: createMachineClaims(platform.now),
		forecaster: {observe: () => undefined},
	});

type Case = {
	readonly name: string;
	readonly prepare: (platform: FleetPlatform, id: string) => void;
	/** Machines that are sent away. */
	readonly moved: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'all serve',
		prepare: () => undefined,
		moved: ['a', 'b', 'c'],
	},
	{
		name: 'three do not answer for long and may run tasks',
		prepare(platform, id) {
			platform.setSilent(id, 2000);
			platform.setBusy(id, true);
		},
		moved: [],
	},
	{
		name: 'three do not answer for long and run nothing',
		prepare(platform, id) {
			platform.setSilent(id, 2000);
		},
		moved: [],
	},
	{
		name: 'three have just left a call unanswered',
		prepare(platform, id) {
			platform.setSilent(id, 100);
		},
		moved: ['a', 'b', 'c'],
	},
	{
		name: 'the owner does not know three yet',
		prepare(platform, id) {
			platform.setKnown(id, false);
		},
		moved: [],
	},
];

for (const {name, prepare, moved} of cases) {
	tap.t.test(`six machines where three are enough: ${name}`, async (t) => {
		const platform = createFleetPlatform(['a', 'b', 'c', 'd', 'e', 'f']);
		for (const id of ['a', 'b', 'c']) {
			prepare(platform, id);
		}

		const mover = createMover(platform);
		while (platform.now() < durationMs) {
			await mover.runRound(platform.getView());
			platform.advance(roundMs);
		}

		t.same(
			platform.commands.map(({machine}) => machine),
			moved,
		);
	});
}

const lasting = [
	{name: 'knows none of them for long', isKnown: false, moved: ['d', 'e', 'f']},
	{name: 'knows them', isKnown: true, moved: []},
] as const;

for (const {name, isKnown, moved} of lasting) {
	tap.t.test(`three machines are needed and the owner ${name}`, async (t) => {
		const platform = createFleetPlatform(['a', 'b', 'c', 'd', 'e', 'f']);
		for (const id of ['d', 'e', 'f']) {
			platform.move(id, 'standby');
		}

		platform.advance(durationMs);
		for (const id of ['a', 'b', 'c']) {
			platform.setKnown(id, isKnown);
		}

		const mover = createMover(platform);
		const from = platform.now();
		while (platform.now() < from + 4 * durationMs) {
			await mover.runRound(platform.getView());
			platform.advance(roundMs);
		}

		t.same(platform.commands.map(({machine}) => machine).toSorted(), moved);
		t.ok(platform.commands.every(({at}) => at > from + durationMs));
	});
}

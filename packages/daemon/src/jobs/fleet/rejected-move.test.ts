/**
 * Guards against a move that the platform rejected once and that is planned in
 * place of all others ever after.
 */
import {fleet} from '@gullstand/core';
import * as tap from 'tap';
import {
	createFleetPlatform,
	type CommandFault,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

type Case = {
	readonly name: string;
	readonly machines: readonly string[];
	/** Machines that the pool keeps. */
	readonly kept: number;
	/** Answers to the commands for the machine `a`, in order. */
	readonly faults: readonly CommandFault[];
	readonly durationMs: number;
	readonly moved: readonly string[];
	/** Expected number of commands for the machine `a`. */
	readonly commands: number;
};

const invalid: CommandFault = {answer: 'invalid'};

const cases: readonly Case[] = [
	{
		name: 'another machine moves in its place',
		machines: ['a', 'b'],
		kept: 1,
		faults: [invalid],
		durationMs: 4000,
		moved: ['b'],
		commands: 1,
	},
	{
		name: 'it is tried again',
		machines: ['a'],
		kept: 0,
		faults: [invalid],
		durationMs: 9000,
		moved: ['a'],
		commands: 2,
	},
	{
		name: 'it is tried ever more rarely',
		machines: ['a'],
		kept: 0,
		faults: Array.from({length: 100}, () => invalid),
		durationMs: 60_000,
		moved: [],
		commands: 4,
	},
];

const createMover = (platform: FleetPlatform, spareMachines: number) =>
	createPoolMover(platform.context, {
		cfg: {
			...fleet.defaultPoolConfig,
			minCpu: 0,
			minShare: 0,
			spareMachines,
			usesForecast: false,
		},
		getStandbyPool: () => 'standby',
		listServices: () => [],
		isReserved: () => false,
		claims: createMachineClaims(platform.now),
		forecaster: {observe: () => undefined},
	});

for (const each of cases) {
	tap.t.test(`a rejected move: ${each.name}`, async (t) => {
		const platform = createFleetPlatform(each.machines);
		for (const fault of each.faults) {
			platform.failNext('a', fault);
		}

		const mover = createMover(platform, each.kept);
		while (platform.now() < each.durationMs) {
			await mover.runRound(platform.getView());
			platform.advance(roundMs);
		}

		t.same(platform.violations, []);
		t.same(
			each.machines.filter((id) => platform.getMachine(id)?.pool === 'standby'),
			each.moved,
		);
		t.equal(
			platform.commands.filter(({machine}) => machine === 'a').length,
			each.commands,
		);
	});
}

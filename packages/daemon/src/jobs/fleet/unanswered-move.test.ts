/** Guards against forgetting a move whose command got no answer. */
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

/** Less than the time after which a move is given up. */
const durationMs = 8000;

type Case = {
	readonly name: string;
	/** Faults of the commands for the machine, in order. */
	readonly faults: readonly CommandFault[];
	/** What happens, by the number of rounds since the first command. */
	readonly events?: Readonly<Record<number, (platform: FleetPlatform) => void>>;
	/** Expected number of commands. */
	readonly commands: number;
};

const cases: readonly Case[] = [
	{
		name: 'it is repeated',
		faults: [{answer: 'no-answer'}, {answer: 'no-answer'}],
		commands: 3,
	},
	{
		name: 'a refusal of the repeat does not show that it was not carried out',
		faults: [
			{answer: 'no-answer'},
			{answer: 'busy'},
			{answer: 'unavailable'},
			{answer: 'not-in-wave'},
		],
		commands: 5,
	},
	{
		name: 'it is not repeated while something runs there',
		faults: [{answer: 'no-answer'}],
		events: {
			0(platform) {
				platform.setBusy('a', true);
			},
			8(platform) {
				platform.setBusy('a', false);
			},
		},
		commands: 2,
	},
	{
		name: 'it is repeated for the executor that replaces a crashed one',
		faults: [{answer: 'no-answer'}],
		events: {
			0(platform) {
				platform.crash('a');
			},
		},
		commands: 2,
	},
	{
		name: 'it is repeated after a read of the list without the machine',
		faults: [{answer: 'no-answer'}],
		events: {
			0(platform) {
				platform.setListed('a', false);
			},
			1(platform) {
				platform.setListed('a', true);
			},
		},
		commands: 2,
	},
	{
		name: 'the arrival ends it',
		faults: [{answer: 'no-answer', carriedOutAfterMs: 0}],
		commands: 1,
	},
	{
		name: 'a refusal of the only command ends it',
		faults: [{answer: 'busy'}],
		commands: 2,
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
		listServices: () => [],
		isReserved: () => false,
		claims: createMachineClaims(platform.now),
		forecaster: {observe: () => undefined},
	});

for (const {name, faults, events, commands} of cases) {
	tap.t.test(`a move without an answer: ${name}`, async (t) => {
		const platform = createFleetPlatform(['a']);
		for (const fault of faults) {
			platform.failNext('a', fault);
		}

		const mover = createMover(platform);
		let rounds = 0;
		while (platform.now() < durationMs) {
			await mover.runRound(platform.getView());
			if (platform.commands.length > 0) {
				events?.[rounds]?.(platform);
				rounds += 1;
			}

			platform.advance(roundMs);
		}

		t.same(platform.violations, []);
		t.equal(platform.commands.length, commands);
		t.equal(platform.getMachine('a')?.pool, 'standby');
	});
}

tap.t.test('a move without an answer renews its evacuation', async (t) => {
	const platform = createFleetPlatform(['a']);
	platform.failNext('a', {answer: 'no-answer'});
	const mover = createMover(platform);
	while (platform.commands.length === 0) {
		await mover.runRound(platform.getView());
		platform.advance(roundMs);
	}

	platform.setBusy('a', true);
	const before = platform.evacuations.get('a')?.length ?? 0;
	for (let round = 0; round < 10; round++) {
		await mover.runRound(platform.getView());
		platform.advance(roundMs);
	}

	t.equal(platform.evacuations.get('a')?.length, before + 10);
	t.equal(platform.commands.length, 1);
});

/** Guards against a machine with commands of two waves, or of a wave and a move. */
import {fleet} from '@gullstand/core';
import type {WaveRequest} from '@gullstand/ports';
import * as tap from 'tap';
import {
	createFleetPlatform,
	type CommandFault,
} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

const createRequest = (id: string): WaveRequest => ({
	id,
	machines: ['a'],
	durationMs: 30_000,
	maxAway: 1,
});

type Case = {
	readonly name: string;
	readonly waves: readonly WaveRequest[];
	/** Number of commands before the waves are requested. */
	readonly requestedAfter: number;
	/** Whether moves are planned. */
	readonly hasMoves: boolean;
	/** Whether tasks run on the machine until a wave evacuates it. */
	readonly isBusy?: boolean;
	readonly faults: readonly CommandFault[];
	/** Who sends commands: waves, or the target pools of moves. */
	readonly commands: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'two waves of one machine',
		waves: [createRequest('1'), createRequest('2')],
		requestedAfter: 0,
		hasMoves: false,
		faults: [],
		commands: ['1', '2'],
	},
	{
		name: 'another wave waits for the answer to the first',
		waves: [createRequest('1'), createRequest('2')],
		requestedAfter: 0,
		hasMoves: false,
		faults: [{answer: 'no-answer'}, {answer: 'no-answer'}],
		commands: ['1', '1', '1', '2'],
	},
	{
		name: 'another wave does not follow a refused command in the same round',
		waves: [createRequest('1'), createRequest('2')],
		requestedAfter: 0,
		hasMoves: false,
		faults: [{answer: 'busy'}],
		commands: ['1', '1', '2'],
	},
	{
		name: 'a wave waits for a move without an answer',
		waves: [createRequest('1')],
		requestedAfter: 1,
		hasMoves: true,
		faults: [{answer: 'no-answer'}],
		commands: ['standby', 'standby', '1'],
	},
	{
		name: 'a wave waits for a move that was accepted',
		waves: [createRequest('1')],
		requestedAfter: 1,
		hasMoves: true,
		faults: [],
		commands: ['standby', '1'],
	},
	{
		name: 'a move is dropped once a wave has its machine',
		waves: [createRequest('1')],
		requestedAfter: 0,
		hasMoves: true,
		isBusy: true,
		faults: [{answer: 'no-answer'}],
		commands: ['1', '1', 'standby'],
	},
];

for (const each of cases) {
	tap.t.test(`commands for a machine: ${each.name}`, async (t) => {
		const platform = createFleetPlatform(['a']);
		for (const fault of each.faults) {
			platform.failNext('a', fault);
		}

		const claims = createMachineClaims(platform.now);
		const runner = createMachineWaveRunner(
			platform.context,
			platform.status,
			claims,
		);
		const mover = createPoolMover(platform.context, {
			cfg: {
				...fleet.defaultPoolConfig,
				minCpu: 0,
				minShare: 0,
				spareMachines: 0,
				usesForecast: false,
			},
			getStandbyPool: () => (each.hasMoves ? 'standby' : undefined),
			listServices: () => [],
			isReserved: runner.isReserved,
			forecaster: {observe: () => undefined},
			claims,
		});
		// The move is planned while the machine looks idle, and waits for the task.
		const plannedAt = 1200;
		for (const wave of each.waves) {
			platform.requestWave(wave);
		}

		while (platform.now() < 12_000) {
			const isDue = each.isBusy
				? platform.now() > plannedAt
				: platform.commands.length >= each.requestedAfter;
			if (isDue) {
				await runner.acceptRequests(each.waves);
			}

			const view = platform.getView();
			if (each.isBusy && platform.now() === plannedAt - roundMs) {
				platform.setBusy('a', true);
			}

			await runner.runRound(view);
			await mover.runRound(view);
			if (each.isBusy && platform.now() > plannedAt) {
				platform.setBusy('a', false);
			}

			platform.advance(roundMs);
		}

		t.same(
			platform.commands.map(({by}) => by),
			each.commands,
		);
		t.same(platform.violations, []);
		t.equal(platform.completed.size, each.waves.length);
	});
}

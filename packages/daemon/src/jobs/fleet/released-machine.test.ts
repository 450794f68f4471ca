/** Guards against executors that stay reserved though no command follows. */
import {fleet} from '@gullstand/core';
import * as tap from 'tap';
import {
	createFleetPlatform,
	type CommandFault,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import type {FleetContext} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

type Case = {
	readonly name: string;
	readonly kind: 'wave' | 'move';
	/** Faults of the commands for the machine, in order. */
	readonly faults: readonly CommandFault[];
	/** Whether something runs there all the time. */
	readonly isBusy?: boolean;
	readonly rounds: number;
	readonly isReleased: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'that is refused is released',
		kind: 'move',
		faults: [{answer: 'busy'}],
		rounds: 2,
		isReleased: true,
	},
	{
		name: 'whose machine is not empty in time is released',
		kind: 'move',
		faults: [],
		isBusy: true,
		rounds: 40,
		isReleased: true,
	},
	{
		name: 'without an answer is not released',
		kind: 'move',
		faults: Array.from({length: 200}, () => ({answer: 'no-answer'}) as const),
		rounds: 120,
		isReleased: false,
	},
	{
		name: 'that is carried out is not released',
		kind: 'move',
		faults: [],
		rounds: 40,
		isReleased: false,
	},
	{
		name: 'that an earlier command has carried out is released',
		kind: 'wave',
		faults: [{answer: 'no-answer', carriedOutAfterMs: 0}],
		rounds: 60,
		isReleased: true,
	},
	{
		name: 'that is carried out is not released',
		kind: 'wave',
		faults: [],
		rounds: 60,
		isReleased: false,
	},
	{
		name: 'of another wave is released',
		kind: 'wave',
		faults: Array.from({length: 30}, () => ({answer: 'not-in-wave'})),
		rounds: 22,
		isReleased: true,
	},
	{
		name: 'that the platform may not know yet is not released',
		kind: 'wave',
		faults: Array.from({length: 30}, () => ({answer: 'not-in-wave'})),
		rounds: 20,
		isReleased: false,
	},
];

const createRunner = async (
	platform: FleetPlatform,
	context: FleetContext,
	kind: Case['kind'],
) => {
	const claims = createMachineClaims(platform.now);
	if (kind === 'wave') {
		const runner = createMachineWaveRunner(context, platform.status, claims);
		const machines = ['a'];
		await runner.acceptRequests([
			{id: '1', machines, durationMs: 30_000, maxAway: 1},
		]);
		return runner;
	}

	return createPoolMover(context, {
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
		claims,
		forecaster: {observe: () => undefined},
	});
};

for (const {name, kind, faults, isBusy, rounds, isReleased} of cases) {
	tap.t.test(`a ${kind} ${name}`, async (t) => {
		const platform = createFleetPlatform(['a']);
		for (const fault of faults) {
			platform.failNext('a', fault);
		}

		const released: string[] = [];
		const {owners} = platform.context;
		const context: FleetContext = {
			...platform.context,
			owners: {
				...owners,
				async releaseEvacuation(_shard, executorId) {
					released.push(executorId);
				},
			},
		};
		const runner = await createRunner(platform, context, kind);
		// A move is planned while the machine is idle.
		for (let round = 0; round < rounds || platform.now() < 1500; round++) {
			await runner.runRound(platform.getView());
			platform.advance(roundMs);
			if (isBusy) {
				platform.setBusy('a', true);
			}
		}

		t.equal(released.length > 0, isReleased);
	});
}

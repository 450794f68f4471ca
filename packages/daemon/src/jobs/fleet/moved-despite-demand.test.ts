/**
 * Guards against machines that stay out of use for a move though their pool
 * needs them again.
 */
import {fleet, type scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {
	createFleetPlatform,
	type FleetPlatform,
} from './fleet-platform.test.fixture.js';
import type {FleetContext} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

/** When a lasting surplus of the pool is given to standby, in milliseconds. */
const plannedAtMs = 1000;

type Case = {
	readonly name: string;
	readonly ids: readonly string[];
	/** Machines on which something runs as soon as their moves are planned. */
	readonly busy: readonly string[];
	/** What the owner reports from then on. */
	readonly load: Partial<scheduler.ServiceLoad>;
	/** Machines whose moves go on. */
	readonly kept: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'all machines are released if the pool needs all of them',
		ids: ['a', 'b'],
		busy: ['a', 'b'],
		load: {waitingCpu: 2000},
		kept: [],
	},
	{
		name: 'as many machines are released as the pool needs',
		ids: ['a', 'b'],
		busy: ['a', 'b'],
		load: {waitingCpu: 1000},
		kept: ['b'],
	},
	{
		name: 'no machine is released without demand',
		ids: ['a', 'b'],
		busy: ['a', 'b'],
		load: {},
		kept: ['a', 'b'],
	},
	{
		name: 'a commanded move goes on',
		ids: ['a', 'b'],
		busy: ['b'],
		load: {waitingCpu: 2000},
		kept: ['a'],
	},
	{
		name: 'late work does not bring machines back',
		ids: ['a', 'b'],
		busy: ['a', 'b'],
		load: {
			waitingCpu: 2000,
			late: {waitingCpu: 2000, usedCpu: 0, work: 1_000_000},
		},
		kept: ['a', 'b'],
	},
];

const createRecorder = (platform: FleetPlatform) => {
	const released = new Set<string>();
	const executors = new Map<string, string>();
	for (const machine of platform.getView().machines.values()) {
		executors.set(machine.executorId ?? '', machine.id);
	}

	const context: FleetContext = {
		...platform.context,
		owners: {
			...platform.context.owners,
			async releaseEvacuation(_shard, executorId) {
				released.add(executors.get(executorId) ?? '');
			},
		},
	};
	return {released, context};
};

const createMover = (context: FleetContext, platform: FleetPlatform) =>
	createPoolMover(context, {
		cfg: {
			...fleet.defaultPoolConfig,
			headroom: 1,
			surge: 0,
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

for (const {name, ids, busy, load, kept} of cases) {
	tap.t.test(`demand comes back during a move: ${name}`, async (t) => {
		const platform = createFleetPlatform(ids);
		const {released, context} = createRecorder(platform);
		const mover = createMover(context, platform);
		while (platform.now() < plannedAtMs) {
			await mover.runRound(platform.getView());
			platform.advance(roundMs);
		}

		for (const id of busy) {
			platform.setBusy(id, true);
		}

		await mover.runRound(platform.getView());
		t.same([...platform.evacuations.keys()], ids, 'all moves are planned');
		platform.advance(roundMs);
		platform.setLoad(load);
		await mover.runRound(platform.getView());
		t.same(
			ids.filter((id) => !released.has(id)),
			kept,
		);
		const before = new Map(
			ids.map((id) => [id, platform.evacuations.get(id)?.length]),
		);
		for (let round = 0; round < 5; round++) {
			platform.advance(roundMs);
			await mover.runRound(platform.getView());
		}

		t.same(
			ids.filter(
				(id) =>
					released.has(id) &&
					platform.evacuations.get(id)?.length !== before.get(id),
			),
			[],
			'released machines are not asked for again',
		);
	});
}

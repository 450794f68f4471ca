/**
 * Guards against machines that stay evacuated without a command as long as the
 * owner of another pool does not answer.
 */
import {setImmediate} from 'node:timers/promises';
import {fleet} from '@gullstand/core';
import * as tap from 'tap';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import type {FleetContext, FleetView} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

/** When a lasting surplus of the pools is given to standby, in milliseconds. */
const plannedAtMs = 1000;

/** Time-out of a call to another daemon, in milliseconds. */
const callTimeoutMs = 400;

/** What the owner of the other pool does from the plan on. */
const cases = [
	{name: 'both owners answer', isSilent: false, from: 0},
	{name: 'the other owner does not answer', isSilent: true, from: 0},
	{name: 'the other owner stops answering', isSilent: true, from: 1},
];

for (const {name, isSilent, from} of cases) {
	tap.t.test(`an evacuated machine is commanded: ${name}`, async (t) => {
		const platform = createFleetPlatform(['a', 'b']);
		const other = platform.getMachine('b')?.executorId;
		let round = Number.NEGATIVE_INFINITY;
		const isAway = () => isSilent && round >= from;
		const {owners} = platform.context;
		const context: FleetContext = {
			...platform.context,
			owners: {
				...owners,
				async evacuate(shard, executorId, req) {
					if (executorId === other && isAway()) {
						// The time-out of the call, after all that does not wait for it.
						await setImmediate();
						platform.advance(callTimeoutMs);
						return undefined;
					}

					return owners.evacuate(shard, executorId, req);
				},
			},
		};
		/** Machine `b` is in a pool of its own. */
		const readView = (): FleetView => {
			const view = platform.getView();
			if (isAway()) {
				platform.advance(callTimeoutMs);
			}

			const load = view.loads.get('s')!;
			return {
				...view,
				machines: new Map(
					[...view.machines].map(([id, each]) => [
						id,
						id === 'b' && each.pool === 's' ? {...each, pool: 'r'} : each,
					]),
				),
				loads: new Map([
					['s', load],
					...(isAway() ? [] : [['r', load] as const]),
				]),
			};
		};

		const mover = createPoolMover(context, {
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
		while (platform.now() < plannedAtMs) {
			await mover.runRound(readView());
			platform.advance(roundMs);
		}

		// Both machines are at work when their moves are planned.
		platform.setBusy('a', true);
		platform.setBusy('b', true);
		await mover.runRound(readView());
		t.same([...platform.evacuations.keys()], ['a', 'b'], 'both are planned');
		for (round = 0; round < 4; round += 1) {
			platform.advance(roundMs);
			platform.setBusy('a', false);
			await mover.runRound(readView());
		}

		t.ok(
			platform.commands.some(({machine}) => machine === 'a'),
			'the machine that is clear is commanded',
		);
		t.notOk(
			platform.commands.some(({machine}) => machine === 'b'),
			'the other one is not',
		);
	});
}

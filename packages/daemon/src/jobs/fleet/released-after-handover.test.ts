/**
 * Guards against a machine that is released behind a wave's command, as it was
 * emptied for a move before the wave took it.
 */
import {fleet} from '@gullstand/core';
import type {WaveRequest} from '@gullstand/ports';
import * as tap from 'tap';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;

const wave: WaveRequest = {
	id: '1',
	machines: ['a'],
	durationMs: 60_000,
	maxAway: 1,
};

const cases = [
	{name: 'without an answer', hasWave: true, released: []},
	{name: 'that no wave has', hasWave: false, released: ['a']},
];

for (const {name, hasWave, released} of cases) {
	tap.t.test(`a machine that moves is not released: ${name}`, async (t) => {
		const platform = createFleetPlatform(['a', 'b', 'c']);
		const claims = createMachineClaims(platform.now);
		const waves = createMachineWaveRunner(
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
			getStandbyPool: () => 'standby',
			listServices: () => [],
			isReserved: waves.isReserved,
			claims,
			forecaster: {observe: () => undefined},
		});
		for (const id of ['a', 'b', 'c']) {
			platform.setBusy(id, true);
		}

		while (!claims.isLeaving('a') && platform.now() < 20_000) {
			await mover.runRound(platform.getView());
			platform.advance(roundMs);
		}

		t.ok(claims.isLeaving('a'), 'it is emptied for a move');
		platform.setBusy('a', false);
		platform.failNext('a', {answer: 'no-answer'});
		if (hasWave) {
			platform.requestWave(wave);
			await waves.acceptRequests([wave]);
		}

		await waves.runRound(platform.getView());
		t.equal(platform.commands.length, hasWave ? 1 : 0);
		// The machines can't be listed from now on, so that no move is advanced.
		const before = platform.released.length;
		waves.releaseHolds();
		mover.releaseHolds();
		t.same(
			platform.released.slice(before).filter((id) => id === 'a'),
			released,
		);
	});
}

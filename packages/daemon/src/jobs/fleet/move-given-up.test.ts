/**
 * Guards against machines that are out of use for one move after another, none
 * of which is carried out.
 */
import {fleet} from '@gullstand/core';
import * as tap from 'tap';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createPoolMover} from './pool-mover.js';

const roundMs = 150;
const durationMs = 30_000;

/** Longer than the pause between two requests of one move. */
const maxGapMs = 4 * roundMs;

tap.t.test('a machine that is never empty serves in between', async (t) => {
	const platform = createFleetPlatform(['a']);
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
		isReserved: () => false,
		claims: createMachineClaims(platform.now),
		forecaster: {observe: () => undefined},
	});
	platform.setBusy('a', true);
	while (platform.now() < durationMs) {
		await mover.runRound(platform.getView());
		platform.advance(roundMs);
	}

	const asked = platform.evacuations.get('a') ?? [];
	const gaps = asked
		.slice(1)
		.map((at, index) => at - (asked[index] ?? at))
		.filter((ms) => ms > maxGapMs);
	t.ok(gaps.length > 1, 'it is asked for again');
	t.ok(asked.length * roundMs < durationMs / 2, 'it is in use for longer');
});

/** Guards against a wave that waits for a machine that is not listed. */
import * as tap from 'tap';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

const roundMs = 150;
const durationMs = 30_000;

tap.t.test('one that stays busy holds up no other', async (t) => {
	const platform = createFleetPlatform(['a', 'b', 'c']);
	const request = {
		id: '1',
		machines: ['a', 'b', 'c'],
		durationMs,
		maxAway: 1,
	};
	platform.requestWave(request);
	platform.setListed('a', false);
	const rounds = durationMs / roundMs;
	for (let round = 0; round < rounds; round++) {
		platform.failNext('a', {answer: 'busy'});
	}

	const runner = createMachineWaveRunner(
		platform.context,
		platform.status,
		createMachineClaims(platform.now),
	);
	await runner.acceptRequests([request]);
	for (const id of ['b', 'c']) {
		platform.setBusy(id, true);
	}

	for (let round = 0; round < rounds; round++) {
		await runner.runRound(platform.getView());
		platform.advance(roundMs);
		if (platform.now() === 3000) {
			platform.setBusy('b', false);
			platform.setBusy('c', false);
		}
	}

	const commanded = platform.commands.map(({machine}) => machine);
	t.same([...new Set(commanded)].toSorted(), ['a', 'b', 'c']);
	const asked = commanded.filter((machine) => machine === 'a').length;
	t.ok(asked <= durationMs / 2000, 'it is asked about each 2 s at most');
});

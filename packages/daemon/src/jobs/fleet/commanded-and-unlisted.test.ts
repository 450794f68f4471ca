/**
 * Guards against tasks that start behind a command without an answer, while the
 * platform does not list its machine.
 */
import type {scheduler} from '@gullstand/core';
import type {WaveRequest} from '@gullstand/ports';
import * as tap from 'tap';
import {createFleetPlatform} from './fleet-platform.test.fixture.js';
import type {FleetContext} from './fleet-context.js';
import {createMachineClaims} from './machine-claims.js';
import {createMachineWaveRunner} from './machine-wave-runner.js';

const roundMs = 150;

const wave: WaveRequest = {
	id: '1',
	machines: ['a'],
	durationMs: 60_000,
	maxAway: 1,
};

const cases = [
	{name: 'listed', isListed: true},
	{name: 'not listed', isListed: false},
];

for (const {name, isListed} of cases) {
	tap.t.test(`a command without an answer is repeated: ${name}`, async (t) => {
		const platform = createFleetPlatform(['a', 'b']);
		const {owners} = platform.context;
		const asked: Array<scheduler.EvacuationUrgency | undefined> = [];
		const context: FleetContext = {
			...platform.context,
			owners: {
				...owners,
				async evacuate(shard, executorId, request) {
					asked.push(request.urgency);
					return owners.evacuate(shard, executorId, request);
				},
			},
		};
		const runner = createMachineWaveRunner(
			context,
			platform.status,
			createMachineClaims(platform.now),
		);
		for (let index = 0; index < 100; index += 1) {
			platform.failNext('a', {answer: 'no-answer'});
		}

		platform.requestWave(wave);
		await runner.acceptRequests([wave]);
		while (platform.commands.length === 0) {
			await runner.runRound(platform.getView());
			platform.advance(roundMs);
		}

		asked.length = 0;
		platform.setListed('a', isListed);
		for (let round = 0; round < 100; round += 1) {
			await runner.runRound(platform.getView());
			platform.advance(roundMs);
		}

		t.ok(asked.length > 0, 'its executor is asked for');
		t.same([...new Set(asked)], ['commanded'], 'as one that is commanded');
	});
}

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

tap.t.test(
	'one whose entry could not be read is evacuated first',
	async (t) => {
		const platform = createFleetPlatform(['a']);
		const request = {id: '1', machines: ['a'], durationMs, maxAway: 1};
		platform.requestWave(request);
		platform.setBusy('a', true);
		const runner = createMachineWaveRunner(
			platform.context,
			platform.status,
			createMachineClaims(platform.now),
		);
		await runner.acceptRequests([request]);
		const pass = async (ms: number, isReadable: boolean) => {
			for (const end = platform.now() + ms; platform.now() < end;) {
				const view = platform.getView();
				const machines = new Map(
					[...view.machines].map(([id, machine]) => [
						id,
						isReadable
							? machine
							: {
									...machine,
									pool: '',
									state: 'down' as const,
									executorId: undefined,
									problem: 'pool: not a text',
								},
					]),
				);
				await runner.runRound({...view, machines});
				platform.advance(roundMs);
			}
		};

		await pass(450, true);
		await pass(3000, false);
		t.same(platform.commands, [], 'it counts as down');
		platform.setListed('a', false);
		await pass(6000, true);
		t.same(platform.commands, [], 'something runs there');
		platform.setBusy('a', false);
		await pass(3000, true);
		t.same(platform.violations, []);
		t.ok(platform.commands.length > 0, 'it is asked about once it is empty');
	},
);

/**
 * Guards against work that arrives after the only executor that has room for it
 * was promised to be clear, for a command that the platform refuses.
 */
import * as tap from 'tap';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import {simulateMaintenance} from './maintained-service.test.fixture.js';

/** No job stands for this long in a calm time, in milliseconds. */
const maxStandingMs = 3000;

const task = {cpuMillis: 750, memoryMb: 100, accelerators: 0};

const cases = [
	{name: 'the only executor', others: []},
	{name: 'beside one that is full', others: [createListed('e1')]},
];

tap.t.test('work does not wait for a command that is refused', async (t) => {
	for (const {name, others} of cases) {
		const capacity = {cpuMillis: 8000, memoryMb: 1000, accelerators: 0};
		const world = simulateMaintenance({
			executors: [createListed('e0', {labels: ['k0'], capacity}), ...others],
			asked: ['e0'],
			patienceMs: 1400,
			from: 1500,
			mayCommand: () => false,
		});
		for (const {id} of others) {
			world.submit(
				createAccepted(`l-${id}`, [
					{
						isLongRunning: true,
						resources: {...task, cpuMillis: 3300},
						requiredLabel: 'r1-1',
					},
				]),
			);
		}

		world.advanceTo(1800);
		world.submit(createAccepted('j', [{resources: task}]));
		world.advanceTo(20_000);
		const waitMs = (world.startedAt.get('j.0.0.0') ?? 99_999) - 1800;
		t.ok(waitMs < maxStandingMs, `${name}: a task waits ${waitMs} ms`);
	}
});

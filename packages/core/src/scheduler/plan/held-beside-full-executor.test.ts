/**
 * Guards against work that waits for the turn of an executor, since the one that
 * stays could hold it if it were empty, but is full of long-running tasks.
 */
import * as tap from 'tap';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import {simulateMaintenance} from './maintained-service.test.fixture.js';

/** No job stands for this long in a calm time, in milliseconds. */
const maxStandingMs = 3000;

/** Time between two jobs, in milliseconds; one executor runs all of them. */
const jobsEachMs = 2500;

const cases = [
	{name: 'tasks of 2 s', estimateMs: 2000},
	{name: 'tasks of 1.6 s', estimateMs: 1600},
];

for (const {name, estimateMs} of cases) {
	tap.t.test(
		`work that only the one asked for has room for waits: ${name}`,
		async (t) => {
			const task = {cpuMillis: 750, memoryMb: 100, accelerators: 0};
			const large = {...task, cpuMillis: 3300};
			const capacity = {cpuMillis: 8000, memoryMb: 1000, accelerators: 0};
			const world = simulateMaintenance({
				executors: [
					createListed('e0', {labels: ['k0'], capacity}),
					createListed('e1', {labels: ['k1']}),
				],
				asked: ['e0'],
				patienceMs: 1400,
				from: 1500,
				mayCommand: () => false,
			});
			world.submit(
				createAccepted('l', [
					{isLongRunning: true, resources: large, requiredLabel: 'k1'},
				]),
			);
			world.submit(
				createAccepted('m', [
					{isLongRunning: true, resources: task, mayMiss: 0},
				]),
			);

			world.advanceTo(1500);
			let longestMs = 0;
			for (let index = 0; index < 20; index += 1) {
				const at = world.now();
				world.submit(
					createAccepted(`j${index}`, [{estimateMs, resources: task}]),
				);
				world.advanceTo(at + jobsEachMs);
			}

			for (let index = 0; index < 14; index += 1) {
				const at = 1500 + jobsEachMs * index;
				const startedAt = world.startedAt.get(`j${index}.0.0.0`);
				longestMs = Math.max(longestMs, (startedAt ?? 99_999) - at);
			}

			t.ok(longestMs < maxStandingMs, `a task waits ${longestMs} ms`);
		},
	);
}

/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * A task crashes each executor that starts it, some seconds after its start. The
 * executor is back under its id seconds later.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	createClient,
	createJob,
	createWorld,
	hasTrouble,
	newJobId,
	runCase,
	waitUntil,
} from './world.mjs';

const crashAfterMs = 6000;
const downMs = 2000;
const playedMs = 85_000;

const world = await createWorld({
	daemons: 3,
	services: [{name: 'claims', executors: 6}],
	queues: [{name: 'r-1', pathPrefix: '/jobs/', service: 'claims'}],
});
const {events, note, now} = world.record;

const listStarts = (job) =>
	events.filter(({kind, task}) => kind === 'start' && task.startsWith(job));

const crashExecutor = async ({executor: id, bornMs, run}) => {
	await delay(crashAfterMs);
	const executor = world.executors.find((each) => each.getId() === id);
	note({kind: 'crash by the task', executor: id, bornMs, run});
	executor.crash();
	await delay(downMs);
	await executor.restart();
};

await runCase(world, async () => {
	await delay(3000);
	const client = createClient(world);
	const job = newJobId();
	const crashed = new Set();
	await client.call('POST', `/jobs/${job}`, {
		body: createJob({count: 1, cpu: 2000, memMb: 1024, workMs: 12_000}),
	});
	const untilMs = now() + playedMs;
	await waitUntil(async () => {
		for (const start of listStarts(job)) {
			if (hasTrouble && !crashed.has(start)) {
				crashed.add(start);
				crashExecutor(start);
			}
		}

		return now() > untilMs;
	}, playedMs + 1000);
	const state = await client.call('GET', `/jobs/${job}`);
	const crashes = events.filter(({kind}) => kind === 'crash by the task');
	const third = crashes[2]?.atMs ?? Infinity;
	const after = listStarts(job).filter(({atMs}) => atMs > third);
	note({kind: 'starts after three crashes', count: after.length, state});
	return after.length >= 3
		? `started ${after.length} times more after three executors had crashed under it; ${crashes.length} crashes`
		: undefined;
});

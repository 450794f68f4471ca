/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * The capacity of executors shrinks while jobs come whose tasks fill. The cpu of
 * such a task is not counted against a capacity, so that each executor has room
 * for it all the while.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	createClient,
	createJob,
	createWorld,
	hasTrouble,
	newJobId,
	runCase,
} from './world.mjs';

const jobCount = 6;

const world = await createWorld({
	daemons: 3,
	services: [{name: 'claims', executors: 6}],
	queues: [{name: 'r-1', pathPrefix: '/jobs/', service: 'claims'}],
});
const {events, note, now} = world.record;

await runCase(world, async () => {
	await delay(3000);
	const client = createClient(world);
	if (hasTrouble) {
		for (const each of world.executors) {
			each.resize(0.5);
		}
	}

	await delay(4000);
	const jobs = Array.from({length: jobCount}, () => newJobId());
	for (const [index, id] of jobs.entries()) {
		await client.call('POST', `/jobs/${id}`, {
			body: createJob({
				count: 1,
				cpu: 20_000,
				memMb: 1024,
				workMs: 1000,
				fields: {fills: true},
			}),
			daemon: world.daemons[index % world.daemons.length],
		});
	}

	const endedAt = now();
	await delay(17_000);
	const started = new Set(
		events
			.filter(({kind}) => kind === 'start')
			.map(({task}) => task.split('.')[0]),
	);
	const standing = jobs.filter((id) => !started.has(id));
	note({kind: 'standing', standing, sinceMs: Math.round(now() - endedAt)});
	for (const id of jobs) {
		await client.call('GET', `/jobs/${id}`);
	}

	return standing.length > 0
		? `${standing.length} of ${jobCount} accepted jobs have started nothing ${Math.round(now() - endedAt)} ms after the end of the traffic`
		: undefined;
});

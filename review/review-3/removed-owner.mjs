/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * The daemon that owns a service is removed for good, and one executor of the
 * service is lost for good at the same moment. A task that lasts and ran there
 * must run elsewhere soon: nine executors are sound, and three of them free.
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

/** The bounds of the small deployments, in milliseconds. */
const contactMs = 3000;
const calmBeforeMs = 4000;
const standsMs = 3000;

/**
 * By then a task that lasts must have been started again: its last run is over
 * for more than 6 s, and the last 7 s have been calm.
 */
const limitMs = contactMs + calmBeforeMs + standsMs;

const watchMs = 20_000;

const shard = 'service/claims';

const world = await createWorld({
	daemons: 4,
	services: [{name: 'claims', executors: 10}],
	queues: [{name: 'r-1', pathPrefix: '/jobs/', service: 'claims'}],
});
const {events, note, now} = world.record;

/** The daemon whose latest line about the service says that it has it. */
const findOwner = () =>
	world.daemons.find((daemon) => {
		const lines = daemon
			.readLog()
			.split('\n')
			.filter(
				(line) =>
					line.includes(shard) &&
					(line.includes('service taken over') || line.includes('shard lost')),
			);
		return lines.at(-1)?.includes('service taken over') ?? false;
	});

await runCase(world, async () => {
	await delay(4000);
	const client = createClient(world);
	const id = newJobId();
	await client.call('POST', `/jobs/${id}`, {
		body: createJob({
			count: 7,
			cpu: 2000,
			memMb: 1024,
			workMs: 1000,
			work: {longRunning: true},
			fields: {longRunning: true, antiAffinity: 1},
		}),
	});
	await delay(6000);
	const owner = findOwner();
	const starts = events.filter(({kind}) => kind === 'start');
	const executor = world.executors.find((each) =>
		starts.some((start) => start.executor === each.getId()),
	);
	if (!owner || !executor) {
		throw new Error('no owner, or nothing runs');
	}

	const lost = starts.filter((start) => start.executor === executor.getId());
	const lostAt = now();
	note({kind: 'executor lost for good', executor: executor.getId()});
	executor.lose();
	if (hasTrouble) {
		note({kind: 'daemon removed for good', daemon: owner.name});
		await owner.kill();
	}

	await delay(watchMs);
	const stood = lost.map(({task}) => {
		const next = events.find(
			(event) =>
				event.kind === 'start' && event.task === task && event.atMs > lostAt,
		);
		return {task, stoodMs: Math.round((next?.atMs ?? now()) - lostAt)};
	});
	note({kind: 'stood', stood});
	const broken = stood.filter(({stoodMs}) => stoodMs > limitMs);
	return broken.length > 0
		? broken
				.map(({task, stoodMs}) => `task ${task} ran nowhere for ${stoodMs} ms`)
				.join('; ')
		: undefined;
});

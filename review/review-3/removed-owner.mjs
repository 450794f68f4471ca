/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * The daemon that owns a service is removed for good, a second before an executor
 * of the service leaves as planned. Jobs that are accepted then must
 * start soon: the nine other executors are sound and idle.
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

/** The bounds of the small deployments, in milliseconds. */
const contactMs = 3000;
const calmBeforeMs = 4000;
const standsMs = 3000;
const finishMs = 14_000;

/**
 * By then a task that lasts must have been started: all has been calm for
 * `contactMs`, the 4 s before, and the 3 s for which it may stand.
 */
const lastingLimitMs = contactMs + calmBeforeMs + standsMs;

/** An executor of the stand-ins leaves that long after it began to drain. */
const drainedMs = 3700;

const watchMs = 24_000;

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

const resources = {cpu: 2000, memMb: 1024, workMs: 1000};

const lastingJob = createJob({
	...resources,
	count: 3,
	work: {longRunning: true},
	fields: {longRunning: true, antiAffinity: 1},
});

const plainJob = createJob({...resources, count: 2});

await runCase(world, async () => {
	await delay(5000);
	const client = createClient(world);
	const owner = findOwner();
	if (!owner) {
		throw new Error('nobody owns the service');
	}

	const asked = world.daemons.find((daemon) => daemon !== owner);
	const [leaver] = world.executors;
	leaver.drain();
	await delay(drainedMs - 1000);
	if (hasTrouble) {
		note({kind: 'daemon removed for good', daemon: owner.name});
		await owner.kill();
	}

	await waitUntil(() => !leaver.isUp(), 10_000);
	const leftAt = now();
	const jobs = [];
	for (const body of [lastingJob, lastingJob, plainJob, plainJob, plainJob]) {
		const id = newJobId();
		const answer = await client.call('POST', `/jobs/${id}`, {
			body,
			daemon: asked,
		});
		if (answer.status === 200) {
			jobs.push({id, isLasting: body === lastingJob, acceptedAt: now()});
		}
	}

	const endedAt = now();
	await delay(watchMs);
	const stood = jobs.map(({id, isLasting, acceptedAt}) => {
		const start = events.find(
			({kind, task}) => kind === 'start' && task.startsWith(id),
		);
		const startedAt = start?.atMs ?? now();
		return {
			id,
			isLasting,
			stoodMs: Math.round(startedAt - acceptedAt),
			isBroken: isLasting
				? startedAt > leftAt + lastingLimitMs
				: startedAt > endedAt + finishMs,
		};
	});
	note({kind: 'stood', stood});
	for (const {id} of jobs) {
		await client.call('GET', `/jobs/${id}`, {daemon: asked});
	}

	const broken = stood.filter(({isBroken}) => isBroken);
	return broken.length > 0
		? `${broken.length} of ${jobs.length} accepted jobs started nothing for ${Math.min(...broken.map(({stoodMs}) => stoodMs))} ms`
		: undefined;
});

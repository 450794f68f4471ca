/* eslint @typescript-eslint/no-floating-promises: off -- it needs type information, which plain JavaScript has not. */
/**
 * Jobs of a queue with `advice` come at once. The advice service handles the
 * calls of a machine one after another, as the pages say. None of the jobs may
 * be left standing while nearly all room is free.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createClient,
	createJob,
	createWorld,
	hasTrouble,
	newJobId,
	runCase,
} from './world.mjs';

const jobCount = 16;

const advice = {decisionMs: 400, eachMs: 10, validMs: 3000};

const maxWaiting = 32;

const readBody = async (req) => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/** Handles one call at a time for the only machine that calls, in turn. */
const startAdvice = async (note) => {
	let waiting = 0;
	let last = Promise.resolve();
	const handle = async (step, workers, before, res) => {
		await before;
		await delay(advice.decisionMs + advice.eachMs * workers.length);
		waiting -= 1;
		note({kind: 'advice given', step, waiting, isCallerGone: res.closed});
	};

	const server = createServer(async (req, res) => {
		const {step, workers} = await readBody(req);
		if (waiting >= maxWaiting) {
			res.writeHead(429).end('{}');
			return;
		}

		waiting += 1;
		note({kind: 'advice asked', step, waiting});
		last = handle(step, workers, last, res);
		await last;
		res.writeHead(200, {'content-type': 'application/json'});
		const good = workers.map((id) => [id, `${step} ${id}`]);
		res.end(JSON.stringify({good, validMs: advice.validMs}));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${server.address().port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

/** The record, once there is a deployment. */
const current = {record: undefined};
const service = await startAdvice((event) => {
	current.record?.note(event);
});
const world = await createWorld({
	daemons: 3,
	services: [{name: 'quoting', executors: 8}],
	queues: [{name: 'r-1', pathPrefix: '/jobs/', service: 'quoting', advice}],
	adaptSettings: (text) =>
		`${text}\n[advice]\naddress = "${service.address}"\n`,
});
current.record = world.record;
const {events, note, now} = world.record;

const finishMs = 14_000;

await runCase(world, async () => {
	await delay(4000);
	const client = createClient(world);
	const jobs = Array.from({length: jobCount}, () => newJobId());
	const submit = async (id, index) =>
		client.call('POST', `/jobs/${id}`, {
			body: createJob({count: 2, cpu: 1000, memMb: 512, workMs: 500}),
			daemon: world.daemons[index % world.daemons.length],
		});
	if (hasTrouble) {
		await Promise.all(jobs.map(async (id, index) => submit(id, index)));
	} else {
		for (const [index, id] of jobs.entries()) {
			await submit(id, index);
			await delay(1000);
		}
	}

	note({kind: 'traffic ended'});
	const endedAt = now();
	await delay(finishMs + 3000);
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

	service.close();
	return standing.length > 0
		? `${standing.length} of ${jobCount} accepted jobs have started nothing ${Math.round(now() - endedAt)} ms after the end of the traffic`
		: undefined;
});

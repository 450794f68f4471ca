/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no types of JavaScript here. */
/**
 * The owner of a service and one executor are lost for good at the same time:
 * how long a lasting task of that executor stays down once all is calm.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {encodePayload} from '../../platform/dist/stand-ins/index.js';
import {hasTrouble, runCase, verdicts, waitUntil} from './world.mjs';

const service = 'desk';

const count = 5;

/** Spans of the rule, in milliseconds. */
const rule = {afterLastRunMs: 6000, calmBeforeMs: 4000, nothingRunsMs: 3000};

/** From the losses until the verdict, in milliseconds. */
const watchedMs = 18_000;

const step = {
	count,
	cpu: 2000,
	memMb: 1024,
	workMs: 0,
	checkpointing: false,
	gang: false,
	longRunning: true,
};

const play = async ({
	record: {events, note, now},
	daemons,
	executors,
	call,
	findOwner,
}) => {
	const id = randomBytes(8).toString('hex');
	const submitted = await call(daemons[0], 'POST', `/${service}/${id}`, {
		spec: encodePayload([step]),
		steps: [
			{
				count,
				cpu: step.cpu,
				memMb: step.memMb,
				estimateMs: 1000,
				antiAffinity: 1,
				longRunning: true,
			},
		],
	});
	const listStarts = () => events.filter(({kind}) => kind === 'start');
	const areStarted = await waitUntil(
		async () => listStarts().length === count,
		5000,
	);
	if (submitted.status !== 200 || !areStarted) {
		return verdicts.notRun;
	}

	await delay(8000);
	const owner = findOwner(service);
	const other = daemons.find((each) => each !== owner);
	const [{executor: lostId, task}] = listStarts();
	const lostAtMs = now();
	if (hasTrouble) {
		note({kind: 'lost for good', daemon: owner.name, executor: lostId});
		executors.find((each) => each.getId() === lostId).lose();
		await owner.kill();
	}

	await delay(watchedMs);
	await call(other, 'GET', `/${service}/${id}`);
	const next = listStarts().find(
		(each) => each.task === task && each.atMs > lostAtMs,
	);
	const downMs = hasTrouble ? (next?.atMs ?? now()) - lostAtMs : 0;
	const allowedMs =
		Math.max(rule.afterLastRunMs, rule.calmBeforeMs) + rule.nothingRunsMs;
	console.log(
		`down for ${Math.round(downMs)} ms, ${allowedMs} ms allowed by the rule`,
	);
	return downMs > allowedMs ? verdicts.broken : verdicts.held;
};

await runCase({services: [{name: service, executors: 8}]}, play);

/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no types of JavaScript here. */
/**
 * A task starts after a long idle time on an executor whose clock is 2 % slow.
 * The executor is cut off, and the owner of its service is stopped in a planned
 * way.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {
	encodePayload,
	linkStates,
} from '../../platform/dist/stand-ins/index.js';
import {hasTrouble, runCase, verdicts, waitUntil} from './world.mjs';

const service = 'desk';

/** Time without jobs, in milliseconds. */
const idleMs = 100_000;

/** Cut of the site file, in milliseconds. */
const cutMs = 5500;

/** From the start of the task until the verdict, in milliseconds. */
const watchedMs = 8500;

const step = {
	count: 1,
	cpu: 2000,
	memMb: 1024,
	workMs: 8000,
	checkpointing: false,
	gang: false,
	longRunning: false,
};

/** Lists the times at which two runs of one task were there at once. */
const findOverlaps = (events) => {
	const running = new Map();
	const overlaps = [];
	for (const {kind, executor, task, run, atMs} of events) {
		const key = `${executor} ${task} ${run}`;
		if (kind === 'start') {
			for (const other of running.values()) {
				if (other.task === task) {
					overlaps.push({task, fromMs: atMs, keys: [other.key, key]});
				}
			}

			running.set(key, {task, key});
		} else if (kind === 'end') {
			running.delete(key);
			for (const each of overlaps) {
				each.toMs ??= each.keys.includes(key) ? atMs : undefined;
			}
		}
	}

	return overlaps;
};

const play = async ({
	record: {events, note},
	daemons,
	executors,
	call,
	findOwner,
}) => {
	await delay(idleMs);
	const id = randomBytes(8).toString('hex');
	const owner = findOwner(service);
	const other = daemons.find((each) => each !== owner);
	const submitted = await call(other, 'POST', `/${service}/${id}`, {
		spec: encodePayload([step]),
		steps: [
			{
				count: step.count,
				cpu: step.cpu,
				memMb: step.memMb,
				estimateMs: step.workMs,
			},
		],
	});
	const findStart = () => events.find(({kind}) => kind === 'start');
	const isStarted = await waitUntil(async () => findStart(), 3000, 5);
	if (submitted.status !== 200 || !isStarted) {
		return verdicts.notRun;
	}

	const executor = executors.find(
		(each) => each.getId() === findStart().executor,
	);
	await delay(100);
	if (hasTrouble) {
		owner.signal('SIGTERM');
		const isReleased = await waitUntil(
			async () => findOwner(service) !== owner,
			1500,
			1,
		);
		if (!isReleased) {
			return verdicts.notRun;
		}

		note({kind: 'cut begins', executor: executor.getId()});
		executor.setLink(linkStates.silent, false);
		setTimeout(() => {
			note({kind: 'cut ends', executor: executor.getId()});
			executor.setLink(linkStates.open, true);
		}, cutMs);
	}

	await delay(watchedMs);
	await call(other, 'GET', `/${service}/${id}`);
	const overlaps = findOverlaps(events);
	for (const each of overlaps) {
		note({kind: 'two runs at once', ...each});
		console.log(
			`${each.task} runs twice from ${each.fromMs} to ${each.toMs} ms: ${each.keys.join(', ')}`,
		);
	}

	return overlaps.length > 0 ? verdicts.broken : verdicts.held;
};

await runCase(
	{services: [{name: service, executors: 6}], clockRate: 0.98},
	play,
);

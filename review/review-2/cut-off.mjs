/* eslint "@typescript-eslint/no-floating-promises": "off" -- XO has no types of JavaScript here. */
/** A job whose executors are cut off, one after another, and never crash. */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {
	encodePayload,
	linkStates,
} from '../../platform/dist/stand-ins/index.js';
import {hasTrouble, runCase, verdicts, waitUntil} from './world.mjs';

/** Longest cut of the site file, in milliseconds. */
const cutMs = 5500;

/** Time that a run has been at work when its executor is cut off. */
const workedMs = 2500;

const cuts = 5;

const step = {
	count: 1,
	cpu: 2000,
	memMb: 1024,
	workMs: 7000,
	checkpointing: false,
	gang: false,
	longRunning: false,
};

const play = async ({record, daemons, executors, call}) => {
	const {events, note} = record;
	const id = randomBytes(8).toString('hex');
	const target = `/desk/${id}`;
	const submitted = await call(daemons[0], 'POST', target, {
		spec: encodePayload([step]),
		steps: [{count: 1, cpu: step.cpu, memMb: step.memMb, estimateMs: 7000}],
	});
	if (submitted.status !== 200) {
		return verdicts.notRun;
	}

	let state = '';
	const ask = async () => {
		const answer = await call(daemons[1], 'GET', target);
		state = answer.body?.state ?? state;
		return state === 'completed' || state === 'failed';
	};

	let seen = 0;
	for (let cut = 0; cut < (hasTrouble ? cuts : 0); cut += 1) {
		const listStarts = () => events.filter(({kind}) => kind === 'start');
		const isStarted = await waitUntil(async () => {
			if (listStarts().length > seen) {
				return true;
			}

			return ask();
		}, 20_000);
		const starts = listStarts();
		if (!isStarted || starts.length <= seen || state === 'failed') {
			break;
		}

		seen = starts.length;
		await delay(workedMs);
		const executor = executors.find(
			(each) => each.getId() === starts.at(-1).executor,
		);
		note({kind: 'cut begins', executor: executor.getId()});
		executor.setLink(linkStates.silent, false);
		setTimeout(() => {
			note({kind: 'cut ends', executor: executor.getId()});
			executor.setLink(linkStates.open, true);
		}, cutMs);
	}

	await waitUntil(ask, 30_000, 500);
	const failedEnds = events.filter(
		({kind, how}) => kind === 'end' && how === 'failed',
	);
	const crashes = events.filter(
		({kind, cause}) => kind === 'down' && cause === 'crash',
	);
	note({
		kind: 'result',
		state,
		failedEnds: failedEnds.length,
		crashes: crashes.length,
	});
	console.log(
		`state ${state}, ends failed ${failedEnds.length}, crashes ${crashes.length}`,
	);
	if (state === 'failed') {
		return failedEnds.length === 0 && crashes.length === 0
			? verdicts.broken
			: verdicts.notRun;
	}

	return state === 'completed' ? verdicts.held : verdicts.notRun;
};

await runCase({services: [{name: 'desk', executors: 6}]}, play);

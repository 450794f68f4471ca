/** Callers: quotes, claims with keys that are repeated, and probes. */
import {setTimeout as wait} from 'node:timers/promises';
import * as core from '@gullstand/core';
import {headerNames} from '@gullstand/daemon';
import {answers} from '@gullstand/stand-in';
import {request} from 'undici';
import {drawBelow} from '../../frame/random.js';
import {answerBytes} from './executor.js';
import {now} from './recorder.js';
import {
	callerToken,
	getProbeToken,
	type Entry,
	type TestEnvironment,
} from './test-environment.js';

/** Load runs until it is stopped. */
export type Load = {isStopped: boolean};

const pauseMs = 40;

const probePauseMs = 100;

const burstPauseMs = 2000;

const burstSize = 60;

const burstDeadlinesMs = [5, 20, 50, 200] as const;

const maxRepeats = 6;

/** Share of claims that are sent twice at once, to two entries. */
const twinShare = 0.2;

/** Stands for a change in a probe whose every token was refused. */
const noChange = -1;

type Call = {
	readonly service: string;
	readonly requestId: string;
	readonly key?: string;
	readonly body: string;
	readonly deadlineMs?: number;
};

const isOutcome = (text: unknown): text is core.Outcome =>
	(core.outcomes as readonly unknown[]).includes(text);

/** Sends one request and records the answer; undefined without an answer. */
const send = async (
	{recorder}: TestEnvironment,
	entry: Entry,
	{service, requestId, key, body, deadlineMs}: Call,
): Promise<core.Outcome | undefined> => {
	const port = entry.daemon.getCallerPort();
	const url = `http://127.0.0.1:${port}/s/${service}/${service}/`;
	const headers: Record<string, string> = {
		authorization: `Bearer ${callerToken}`,
		[answers.requestIdHeader]: requestId,
		...(key !== undefined && {[headerNames.idempotencyKey]: key}),
		...(deadlineMs !== undefined && {
			[headerNames.deadlineMs]: String(deadlineMs),
		}),
	};
	try {
		const res = await request(url, {
			method: 'POST',
			dispatcher: entry.agent,
			headers,
			body,
		});
		const text = await res.body.text();
		const outcome = res.headers[headerNames.outcome];
		if (!isOutcome(outcome)) {
			return undefined;
		}

		const proof = answers.createAnswer(key ?? requestId, body, answerBytes);
		recorder.answers.push({
			requestId,
			outcome,
			expectedBody: proof.toString(),
			body: text,
			isExecutorAnswer: res.headers[headerNames.error] === undefined,
		});
		return outcome;
	} catch {
		return undefined;
	}
};

const runQuotes = async (
	world: TestEnvironment,
	load: Load,
	slot: number,
	id: string,
) => {
	for (let count = 0; !load.isStopped; count += 1) {
		const entry = world.slots[slot];
		if (entry) {
			const requestId = `${id}-${count}`;
			const body = `body of ${requestId}`;
			await send(world, entry, {service: 'quote', requestId, body});
		}

		await wait(pauseMs);
	}
};

/** Bursts with short deadlines, more than is answered in time. */
const runBursts = async (world: TestEnvironment, load: Load, slot: number) => {
	for (let count = 0; !load.isStopped; count += 1) {
		await wait(burstPauseMs);
		const entry = world.slots[slot];
		const calls = Array.from({length: entry ? burstSize : 0}, (_, index) => {
			const requestId = `burst-${slot}-${count}-${index}`;
			const body = `body of ${requestId}`;
			const deadlineMs = burstDeadlinesMs[index % burstDeadlinesMs.length]!;
			return {service: 'quote', requestId, body, deadlineMs};
		});
		await Promise.all(calls.map(async (call) => send(world, entry!, call)));
	}
};

const pickEntry = ({slots, random}: TestEnvironment): Entry | undefined => {
	const reachable = slots.filter((each) => each !== undefined);
	return reachable[drawBelow(random, reachable.length)];
};

/** One claim, until it ran; each repeat goes to any entry. */
const runClaim = async (world: TestEnvironment, load: Load, key: string) => {
	const body = `body of ${key}`;
	const sendOnce = async (requestId: string) => {
		const entry = pickEntry(world);
		const call = {service: 'claims', requestId, key, body};
		return entry ? send(world, entry, call) : undefined;
	};

	const isTwin = world.random() < twinShare;
	for (let repeat = 0; repeat < maxRepeats && !load.isStopped; repeat += 1) {
		const outcomes = await Promise.all([
			sendOnce(`${key}-${repeat}`),
			isTwin ? sendOnce(`${key}-${repeat}-twin`) : undefined,
		]);
		const hasRun = outcomes.includes('ran');
		// Some are asked for again though their answer was received.
		if (hasRun && world.random() > twinShare) {
			return;
		}

		await wait(pauseMs);
	}
};

const runClaims = async (world: TestEnvironment, load: Load, id: string) => {
	for (let count = 0; !load.isStopped; count += 1) {
		await runClaim(world, load, `${id}-${count}`);
		await wait(pauseMs);
	}
};

/** Whether a token of the probe customer is taken; undefined if unanswered. */
const isTokenTaken = async (
	entry: Entry,
	change: number,
	requestId: string,
): Promise<boolean | undefined> => {
	const port = entry.daemon.getCallerPort();
	try {
		const res = await request(`http://127.0.0.1:${port}/s/quote/quote/`, {
			dispatcher: entry.agent,
			headers: {
				authorization: `Bearer ${getProbeToken(change)}`,
				[answers.requestIdHeader]: requestId,
			},
		});
		await res.body.dump();
		return res.statusCode !== 401;
	} catch {
		return undefined;
	}
};

type ProbeWay = {
	readonly world: TestEnvironment;
	readonly entry: Entry;
	readonly id: string;
};

/**
 * Seeks upward, so that an entry that moves on meanwhile is still found: it is
 * missed only if it follows a change below `from`, or none.
 */
const seekUpward = async ({world, entry, id}: ProbeWay, from: number) => {
	for (let change = from; change <= world.changes.highest; change += 1) {
		const at = now();
		const isTaken = await isTokenTaken(entry, change, `${id}-${change}`);
		if (isTaken !== false) {
			return isTaken && {at, change};
		}
	}

	return {at: now(), change: noChange};
};

/** The change that an entry answers by; undefined if it does not answer. */
const probe = async (way: ProbeWay, last: number) => {
	const found = await seekUpward(way, last);
	if (found?.change !== noChange) {
		return found;
	}

	// It went back; the second look only tells how far.
	const lower = await seekUpward(way, 0);
	return lower && lower.change < last ? lower : found;
};

const runProbes = async (world: TestEnvironment, load: Load, slot: number) => {
	const lasts = new Map<string, number>();
	for (let count = 0; !load.isStopped; count += 1) {
		const entry = world.slots[slot];
		const id = `probe-${slot}-${count}`;
		const last = lasts.get(entry?.id ?? '') ?? 0;
		const found = entry && (await probe({world, entry, id}, last));
		if (found) {
			world.recorder.probes.push({...found, entry: entry.id});
			lasts.set(entry.id, Math.max(last, found.change));
		}

		await wait(probePauseMs);
	}
};

/** Starts the callers of all slots; resolves when they have stopped. */
export const runCallers = async (
	world: TestEnvironment,
	load: Load,
): Promise<void> => {
	const callers = world.slots.flatMap((_, slot) => [
		runQuotes(world, load, slot, `quote-${slot}`),
		runClaims(world, load, `claim-${slot}`),
		runBursts(world, load, slot),
		runProbes(world, load, slot),
	]);
	await Promise.all(callers);
};

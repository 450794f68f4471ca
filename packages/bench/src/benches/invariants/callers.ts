/** Callers: quotes, repeated claims with idempotency keys, and probes. */
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

/** Share of claims that are sent to two entries at once. */
const twinShare = 0.2;

/** Change of a probe of which every token was refused. */
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
	environment: TestEnvironment,
	load: Load,
	slot: number,
	id: string,
) => {
	for (let count = 0; !load.isStopped; count += 1) {
		const entry = environment.slots[slot];
		if (entry) {
			const requestId = `${id}-${count}`;
			const body = `body of ${requestId}`;
			await send(environment, entry, {service: 'quote', requestId, body});
		}

		await wait(pauseMs);
	}
};

/** Sends bursts with short deadlines that cannot all be met. */
const runBursts = async (
	environment: TestEnvironment,
	load: Load,
	slot: number,
) => {
	for (let count = 0; !load.isStopped; count += 1) {
		await wait(burstPauseMs);
		const entry = environment.slots[slot];
		const calls = Array.from({length: entry ? burstSize : 0}, (_, index) => {
			const requestId = `burst-${slot}-${count}-${index}`;
			const body = `body of ${requestId}`;
			const deadlineMs = burstDeadlinesMs[index % burstDeadlinesMs.length]!;
			return {service: 'quote', requestId, body, deadlineMs};
		});
		await Promise.all(
			calls.map(async (call) => send(environment, entry!, call)),
		);
	}
};

const pickEntry = ({slots, random}: TestEnvironment): Entry | undefined => {
	const reachable = slots.filter((each) => each !== undefined);
	return reachable[drawBelow(random, reachable.length)];
};

/** Sends one claim until it has run; each repeat goes to a random entry. */
const runClaim = async (
	environment: TestEnvironment,
	load: Load,
	key: string,
) => {
	const body = `body of ${key}`;
	const sendOnce = async (requestId: string) => {
		const entry = pickEntry(environment);
		const call = {service: 'claims', requestId, key, body};
		return entry ? send(environment, entry, call) : undefined;
	};

	const isTwin = environment.random() < twinShare;
	for (let repeat = 0; repeat < maxRepeats && !load.isStopped; repeat += 1) {
		const outcomes = await Promise.all([
			sendOnce(`${key}-${repeat}`),
			isTwin ? sendOnce(`${key}-${repeat}-twin`) : undefined,
		]);
		const hasRun = outcomes.includes('ran');
		// Some claims are repeated although their answer was received.
		if (hasRun && environment.random() > twinShare) {
			return;
		}

		await wait(pauseMs);
	}
};

const runClaims = async (
	environment: TestEnvironment,
	load: Load,
	id: string,
) => {
	for (let count = 0; !load.isStopped; count += 1) {
		await runClaim(environment, load, `${id}-${count}`);
		await wait(pauseMs);
	}
};

/** True if a probe token is accepted; undefined without an answer. */
const isTokenAccepted = async (
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

type ProbeTarget = {
	readonly environment: TestEnvironment;
	readonly entry: Entry;
	readonly id: string;
};

/**
 * Tries changes in ascending order, so that an entry that advances meanwhile is
 * still found. Misses it only if it follows a change below `from`, or none.
 */
const findAcceptedChange = async (
	{environment, entry, id}: ProbeTarget,
	from: number,
) => {
	for (let change = from; change <= environment.changes.highest; change += 1) {
		const at = now();
		const isAccepted = await isTokenAccepted(entry, change, `${id}-${change}`);
		if (isAccepted !== false) {
			return isAccepted && {at, change};
		}
	}

	return {at: now(), change: noChange};
};

/** Finds the change that an entry follows; undefined without an answer. */
const probe = async (target: ProbeTarget, last: number) => {
	const found = await findAcceptedChange(target, last);
	if (found?.change !== noChange) {
		return found;
	}

	// The entry has reverted; the second search finds how far.
	const lower = await findAcceptedChange(target, 0);
	return lower && lower.change < last ? lower : found;
};

const runProbes = async (
	environment: TestEnvironment,
	load: Load,
	slot: number,
) => {
	const lastChanges = new Map<string, number>();
	for (let count = 0; !load.isStopped; count += 1) {
		const entry = environment.slots[slot];
		const id = `probe-${slot}-${count}`;
		const last = lastChanges.get(entry?.id ?? '') ?? 0;
		const found = entry && (await probe({environment, entry, id}, last));
		if (found) {
			environment.recorder.probes.push({...found, entry: entry.id});
			lastChanges.set(entry.id, Math.max(last, found.change));
		}

		await wait(probePauseMs);
	}
};

/** Runs the callers of all slots; resolves when they have stopped. */
export const runCallers = async (
	environment: TestEnvironment,
	load: Load,
): Promise<void> => {
	const callers = environment.slots.flatMap((_, slot) => [
		runQuotes(environment, load, slot, `quote-${slot}`),
		runClaims(environment, load, `claim-${slot}`),
		runBursts(environment, load, slot),
		runProbes(environment, load, slot),
	]);
	await Promise.all(callers);
};

/** Load of callers whose answers can be matched to their requests. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type {upstreamTypes} from '@gullstand/daemon';
import {answers} from '@gullstand/stand-in';
import * as random from '../../frame/random.js';
import type {Entry} from './entries.js';

/** Result of one request. */
export type Sample = {
	readonly id: string;
	readonly phase: string;
	readonly repeatable: boolean;
	readonly endedAt: number;
	readonly durationMs: number;
	readonly outcome: upstreamTypes.AttemptResult['outcome'];
	/** `ok`, an error kind or a fault of the answer. */
	readonly result: string;
};

/** Time within which an answer counts as on time. */
export const deadlineMs = 1000;

const tickMs = 5;
const nonRepeatableShare = 0.05;
const largeShare = 0.002;
const largeBytes = 400_000;

/** Result of a partial answer or of the answer to another request. */
export const wrongAnswer = 'wrong-answer';

const readBody = async (
	body: Uint8Array | Readable,
): Promise<Uint8Array | undefined> => {
	if (!(body instanceof Readable)) {
		return body;
	}

	try {
		return await buffer(body);
	} catch {
		return undefined;
	}
};

const classify = async (
	result: upstreamTypes.AttemptResult,
	wanted: Buffer,
): Promise<string> => {
	if (result.kind === 'error') {
		return result.error;
	}

	if (result.status !== 200) {
		return `status-${result.status}`;
	}

	const body = await readBody(result.body);
	if (body === undefined) {
		return 'cut-stream';
	}

	return wanted.equals(body) ? 'ok' : wrongAnswer;
};

/**
 * Dispatches a request. While no slot is free, retries until near the deadline,
 * in place of the admission queue before the upstream.
 */
const dispatchAdmitted = async (
	entry: Entry,
	req: upstreamTypes.UpstreamRequest,
): Promise<upstreamTypes.AttemptResult> => {
	for (;;) {
		const result = await entry.dispatch(req);
		const unsent = result.kind === 'error' && result.attempts === 0;
		const late = performance.now() + tickMs >= req.deadline;
		if (!unsent || result.error !== 'overloaded' || late) {
			return result;
		}

		await sleep(tickMs);
	}
};

/** Sends one request and waits for the end of its answer. */
const send = async (
	entry: Entry,
	phase: string,
	id: string,
	draw: random.Random,
): Promise<Sample> => {
	const repeatable = draw() >= nonRepeatableShare;
	const large = draw() < largeShare;
	const bytes = large ? largeBytes : 100 + random.drawBelow(draw, 4000);
	const body = `body of ${id} ${draw()}`;
	const startedAt = performance.now();
	const result = await dispatchAdmitted(entry, {
		method: 'POST',
		path: '/quote',
		headers: {
			[answers.requestIdHeader]: id,
			[answers.answerBytesHeader]: String(bytes),
		},
		body: Buffer.from(body),
		repeatable,
		deadline: startedAt + deadlineMs,
	});
	const wanted = answers.createAnswer(id, body, bytes);
	const classified = await classify(result, wanted);
	const endedAt = performance.now();
	return {
		id,
		phase,
		repeatable,
		endedAt,
		durationMs: endedAt - startedAt,
		outcome: result.outcome,
		result: classified,
	};
};

/** Rate and duration of one phase of load. */
export type LoadPhase = {
	readonly phase: string;
	readonly ratePerSecond: number;
	readonly durationMs: number;
};

/**
 * Runs an open-loop load: requests start on schedule whether or not earlier
 * ones have ended. Resolves once all have ended.
 */
export const runLoad = async (
	entries: readonly Entry[],
	{phase, ratePerSecond, durationMs}: LoadPhase,
	draw: random.Random,
): Promise<Sample[]> => {
	const pending: Array<Promise<Sample>> = [];
	const startedAt = performance.now();
	const total = Math.floor((ratePerSecond * durationMs) / 1000);
	while (pending.length < total) {
		const elapsed = performance.now() - startedAt;
		const due = Math.min(total, Math.floor((elapsed * ratePerSecond) / 1000));
		while (pending.length < due) {
			const entry = entries[random.drawBelow(draw, entries.length)]!;
			const id = `${phase}-${pending.length}`;
			pending.push(send(entry, phase, id, draw));
		}

		await sleep(tickMs);
	}

	return Promise.all(pending);
};

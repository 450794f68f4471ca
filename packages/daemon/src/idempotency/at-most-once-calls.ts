/**
 * The layer that runs a non-repeatable call at most once. It wraps admission
 * and dispatch, so that a call they refuse is answered `not-run` only after the
 * entry has claimed the key's row.
 */
import {createHash} from 'node:crypto';
import * as core from '@gullstand/core';
import type {ObjectStore, TableService} from '@gullstand/ports';
import {
	createError,
	type Call,
	type CallHandler,
	type CallLayer,
	type CallResult,
} from '../caller/call.js';
import {createCancellation} from '../caller/cancellation.js';
import {headerNames} from '../caller/headers.js';
import type {Part} from '../supervisor/supervisor.js';
import type {GroupSettings} from './group-writer.js';
import {
	createRequestDeduplicator,
	type RequestDeduplicator,
} from './request-deduplicator.js';
import {createSystemClock, systemRandomness} from './system-clock.js';

type Reply = core.idempotency.Reply;
type RunResult = core.idempotency.RunResult;

/** Dependencies of the layer. */
export type AtMostOnceCallsDeps = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly entry: string;
	readonly incarnation: string;
	readonly settings: core.idempotency.Settings;
	readonly groupSettings: GroupSettings;
	readonly maxAttempts: number;
	/** Monotonic time in milliseconds, as in `Call.deadline`. */
	readonly now: () => number;
};

/** The layer, and the part that stops it. */
export type AtMostOnceCalls = {
	readonly layer: CallLayer;
	readonly part: Part;
	/** Number of open attempts on this entry. */
	readonly getOpenCount: () => number;
	/** Number of transactions sent to the store. */
	readonly getCommitCount: () => number;
};

/** Reported as the executor of an answer from the store. */
const storedAnswerExecutor = 'stored-answer';

const toRunResult = (result: CallResult): RunResult => {
	if (result.kind === 'error') {
		const {outcome} = core.errors.getErrorAnswer(result.error);
		const kind = outcome === 'not-run' ? 'refused' : 'lost';
		return {kind, error: result.error};
	}

	const {status, headers, body} = result;
	return body instanceof Uint8Array
		? {kind: 'answered', answer: {status, headers, body}}
		: {kind: 'streamed', status};
};

const toCallResult = (reply: Reply): CallResult => {
	if (reply.kind === 'error') {
		return createError(reply.error, 0, reply.retryAfterMs);
	}

	const {status, headers, body} = reply.answer;
	return {
		kind: 'answer',
		status,
		headers: [...headers, [headerNames.idempotentReplayed, 'true']],
		body,
		executor: storedAnswerExecutor,
		attempts: 0,
	};
};

/** Cancels a streamed answer that nobody reads. */
const cancelStream = async (result: CallResult) => {
	if (result.kind === 'answer' && !(result.body instanceof Uint8Array)) {
		await result.body.cancel();
	}
};

/** True if the caller receives the result of this call's own dispatch. */
const isOwnReply = (reply: Reply, ownResult: CallResult): boolean =>
	ownResult.kind === 'answer'
		? reply.kind === 'answer' || reply.error === 'answer-not-kept'
		: reply.kind === 'error' && reply.error === ownResult.error;

/** Runs one call under its idempotency key. */
const runKeyed = async (
	deduplicator: RequestDeduplicator,
	call: Call,
	key: string,
	next: CallHandler,
): Promise<CallResult> => {
	let ownResult: CallResult | undefined;
	let isReplied = false;
	const {contract, service, method, path, body, cancellation} = call;
	const reply = await deduplicator.handle({
		customer: contract.customer,
		key,
		service: service.name,
		method,
		path,
		bodyHash: createHash('sha256').update(body).digest('base64url'),
		deadline: call.deadline,
		cancellation,
		async dispatch(dispatchBy) {
			const deadline = Math.min(call.deadline, dispatchBy);
			// A sent call continues without its caller, to record the answer.
			const sent = {...call, deadline, cancellation: createCancellation()};
			ownResult = await next(sent);
			const result = toRunResult(ownResult);
			await (isReplied ? cancelStream(ownResult) : undefined);
			return result;
		},
	});
	isReplied = true;
	if (ownResult === undefined) {
		return toCallResult(reply);
	}

	if (isOwnReply(reply, ownResult)) {
		return ownResult;
	}

	await cancelStream(ownResult);
	return toCallResult(reply);
};

/** Waits for the deduplicator to stop, until a deadline by `now`. */
const stopDeduplicator = async (
	deduplicator: RequestDeduplicator,
	deadline: number,
	now: () => number,
) => {
	let cancel: (() => void) | undefined;
	const deadlineReached = new Promise<void>((resolve) => {
		cancel = createSystemClock(now).callAt(deadline, resolve);
	});
	await Promise.race([deduplicator.stop(), deadlineReached]);
	cancel?.();
};

/** Creates the layer; passes repeatable calls through. */
export const createAtMostOnceCalls = (
	deps: AtMostOnceCallsDeps,
): AtMostOnceCalls => {
	const {now, ...rest} = deps;
	const deduplicator = createRequestDeduplicator({
		...rest,
		clock: createSystemClock(now),
		randomness: systemRandomness,
	});
	const layer: CallLayer = (next) => async (call) => {
		if (call.idempotent) {
			return next(call);
		}

		const header = call.headers[headerNames.idempotencyKey];
		const text = Array.isArray(header) ? header.join(',') : header;
		const key = core.idempotency.parseKey(text);
		return key.ok
			? runKeyed(deduplicator, call, key.value, next)
			: createError(key.error);
	};

	return {
		layer,
		part: {
			name: 'idempotency',
			async start() {
				// Works on demand.
			},
			stop: async (deadline) => stopDeduplicator(deduplicator, deadline, now),
		},
		getOpenCount: deduplicator.getOpenCount,
		getCommitCount: deduplicator.getCommitCount,
	};
};

/**
 * The layer that runs a non-repeatable call at most once. It stands outside
 * admission and dispatch: what they refuse is told `not-run` only after the
 * entry holds the key's row, so that it is true of the key.
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

/** What the layer is made of. */
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

/** The layer, and the part that ends it. */
export type AtMostOnceCalls = {
	readonly layer: CallLayer;
	readonly part: Part;
	/** Attempts that are open on this entry. */
	readonly getOpenCount: () => number;
	/** Transactions sent to the store so far. */
	readonly getCommitCount: () => number;
};

/** Named as the executor of an answer that came from the store. */
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

/** Ends a streamed answer that nobody reads. */
const cancelStream = async (result: CallResult) => {
	if (result.kind === 'answer' && !(result.body instanceof Uint8Array)) {
		await result.body.cancel();
	}
};

/** True if what the call's own dispatch gave is what its caller is told. */
const isOwnReply = (reply: Reply, own: CallResult): boolean =>
	own.kind === 'answer'
		? reply.kind === 'answer' || reply.error === 'answer-not-kept'
		: reply.kind === 'error' && reply.error === own.error;

/** Runs one call under its key. */
const runKeyed = async (
	keeper: RequestDeduplicator,
	call: Call,
	key: string,
	next: CallHandler,
): Promise<CallResult> => {
	let own: CallResult | undefined;
	let isReplied = false;
	const {contract, service, method, path, body, cancellation} = call;
	const reply = await keeper.handle({
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
			// What was sent goes on without its caller: the answer is recorded.
			const sent = {...call, deadline, cancellation: createCancellation()};
			own = await next(sent);
			const result = toRunResult(own);
			await (isReplied ? cancelStream(own) : undefined);
			return result;
		},
	});
	isReplied = true;
	if (own === undefined) {
		return toCallResult(reply);
	}

	if (isOwnReply(reply, own)) {
		return own;
	}

	await cancelStream(own);
	return toCallResult(reply);
};

/** Ends when the keeper has, or at a deadline of `now`. */
const stopKeeper = async (
	keeper: RequestDeduplicator,
	deadline: number,
	now: () => number,
) => {
	let cancel: (() => void) | undefined;
	const late = new Promise<void>((resolve) => {
		cancel = createSystemClock(now).callAt(deadline, resolve);
	});
	await Promise.race([keeper.stop(), late]);
	cancel?.();
};

/** Makes the layer; calls that may be repeated pass it untouched. */
export const createAtMostOnceCalls = (
	deps: AtMostOnceCallsDeps,
): AtMostOnceCalls => {
	const {now, ...rest} = deps;
	const keeper = createRequestDeduplicator({
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
			? runKeyed(keeper, call, key.value, next)
			: createError(key.error);
	};

	return {
		layer,
		part: {
			name: 'idempotency',
			async start() {
				// Works on demand.
			},
			stop: async (deadline) => stopKeeper(keeper, deadline, now),
		},
		getOpenCount: keeper.getOpenCount,
		getCommitCount: keeper.getCommitCount,
	};
};

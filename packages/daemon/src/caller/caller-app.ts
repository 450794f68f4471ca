/** The callers' HTTP API: validates, handles and answers requests. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import * as core from '@gullstand/core';
import type {Contract, errors, Outcome, View} from '@gullstand/core';
import {createByteBudget} from '../http/byte-budget.js';
import {hasBody, readBody} from '../http/read-body.js';
import type {Logger} from '../log/logger.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Settings} from '../settings/schema.js';
import {createErrorResponse, createResponse} from './answer.js';
import type {Call, CallHandler, CallResult} from './call.js';
import {createCancellation} from './cancellation.js';
import {headerNames} from './headers.js';
import {indexTokens, parseHead, type ParsedHead} from './parse-call.js';

/** Dependencies of the callers' API. */
export type CallerDeps = {
	readonly settings: Settings['caller'];
	readonly getView: () => View;
	readonly handle: CallHandler;
	readonly now: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** True once the entry accepts no new requests. */
	readonly isStopping: () => boolean;
};

type Env = {Bindings: HttpBindings};

/** Creates a lookup by token hash that is rebuilt when the view changes. */
const createTokenIndex = (getView: () => View) => {
	let revision = -1;
	let index: ReadonlyMap<string, Contract> = new Map();
	return (tokenHash: string): Contract | undefined => {
		const view = getView();
		if (view.revision !== revision) {
			index = indexTokens(view);
			revision = view.revision;
		}

		return index.get(tokenHash);
	};
};

const getOutcome = (result: CallResult): Outcome =>
	result.kind === 'answer'
		? 'ran'
		: core.errors.getErrorAnswer(result.error).outcome;

/**
 * Error kind of a refusal before the idempotency key was looked up. A request
 * with the same key may have run, so the answer must not claim `not-run`.
 */
const getRefusal = (
	kind: errors.ErrorKind,
	{headers}: IncomingMessage,
): errors.ErrorKind => {
	const hasKey = headers[headerNames.idempotencyKey] !== undefined;
	const {retry} = core.errors.getErrorAnswer(kind);
	return hasKey && retry === 'later' ? 'key-unread' : kind;
};

/** Creates the app. */
export const createCallerApp = (deps: CallerDeps): Hono<Env> => {
	const findContract = createTokenIndex(deps.getView);
	const bodyBudget = createByteBudget(deps.settings.maxBufferedBytes);

	const record = (call: Call, result: CallResult) => {
		const endedAt = deps.now();
		const outcome = getOutcome(result);
		const durationMs = endedAt - call.receivedAt;
		deps.metrics.recordAnswer({
			customer: call.contract.customer,
			service: call.service.name,
			requestClass: call.requestClass,
			outcome,
			...(result.kind === 'error' && {errorKind: result.error}),
			late: result.kind === 'answer' && endedAt > call.deadline,
			durationMs,
		});
		const level = result.kind === 'error' ? 'info' : 'debug';
		// Winston formats a line before it checks the level.
		if (!deps.logger.isLevelEnabled(level)) {
			return;
		}

		deps.logger.log(level, 'answered', {
			requestId: call.requestId,
			customer: call.contract.customer,
			service: call.service.name,
			outcome,
			durationMs,
			...(result.kind === 'error' && {error: result.error}),
		});
	};

	const run = async (
		bindings: HttpBindings,
		head: ParsedHead,
		requestId: string,
		receivedAt: number,
	): Promise<Response> => {
		const {incoming, outgoing} = bindings;
		const reservation = bodyBudget.open();
		outgoing.once('close', reservation.release);
		const body = await readBody(
			incoming,
			deps.settings.maxBodyBytes,
			reservation,
		);
		if (!body.ok) {
			return refuse(bindings, body.error, requestId);
		}

		const cancellation = createCancellation();
		outgoing.once('close', () => {
			if (!outgoing.writableFinished) {
				cancellation.cancel();
			}
		});
		const {budgetMs, ...rest} = head;
		const call: Call = {
			...rest,
			requestId,
			method: incoming.method ?? 'GET',
			headers: incoming.headers,
			body: body.value,
			receivedAt,
			deadline: receivedAt + budgetMs,
			cancellation,
		};
		const result = await deps.handle(call);
		record(call, result);
		return createResponse(result, requestId);
	};

	const refuse = (
		{incoming}: HttpBindings,
		kind: errors.ErrorKind,
		requestId: string,
	): Response => {
		const res = createErrorResponse(getRefusal(kind, incoming), requestId);
		if (hasBody(incoming)) {
			// The body is not read, so the connection cannot be reused.
			res.headers.set('connection', 'close');
		}

		return res;
	};

	const app = new Hono<Env>();
	app.all('*', async (c) => {
		const receivedAt = deps.now();
		const requestId = randomUUID();
		const {incoming} = c.env;
		if (deps.isStopping()) {
			return refuse(c.env, 'stopping', requestId);
		}

		const {headers, method = 'GET', url = '/'} = incoming;
		const head = parseHead(
			{headers, method, url},
			deps.getView(),
			findContract,
		);
		return head.ok
			? run(c.env, head.value, requestId, receivedAt)
			: refuse(c.env, head.error, requestId);
	});
	app.onError((err) => {
		const requestId = randomUUID();
		deps.logger.error('request failed', {requestId, error: err.stack});
		return createErrorResponse('internal', requestId);
	});
	return app;
};

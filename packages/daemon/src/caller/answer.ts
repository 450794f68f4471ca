/** Converts the result of a call to an HTTP response. */
import * as core from '@gullstand/core';
import type {errors} from '@gullstand/core';
import type {CallResult} from './call.js';
import {headerNames} from './headers.js';

const msPerSecond = 1000;

const defaultRetryAfterMs = 1000;

const setRetryAfter = (headers: Headers, retryAfterMs: number) => {
	const seconds = Math.max(1, Math.ceil(retryAfterMs / msPerSecond));
	headers.set('retry-after', String(seconds));
	headers.set(headerNames.retryAfterMs, String(Math.ceil(retryAfterMs)));
};

/** Creates the response for an error kind from the error table. */
export const createErrorResponse = (
	kind: errors.ErrorKind,
	requestId: string,
	retryAfterMs = defaultRetryAfterMs,
): Response => {
	const row = core.errors.getErrorAnswer(kind);
	const headers = new Headers({
		'content-type': 'application/json',
		[headerNames.requestId]: requestId,
		[headerNames.outcome]: row.outcome,
		[headerNames.error]: kind,
		[headerNames.retry]: row.retry,
	});
	if (row.retry === 'later' || row.retry === 'same-key') {
		setRetryAfter(headers, retryAfterMs);
	}

	const {outcome, message, retry} = row;
	const body = JSON.stringify({
		error: kind,
		message,
		outcome,
		retry,
		requestId,
	});
	return new Response(body, {status: row.status, headers});
};

// Statuses without a body (RFC 9110, section 6.4.1).
const statusesWithoutBody = new Set([204, 205, 304]);

/** Creates the response for the result of a call. */
export const createResponse = (
	result: CallResult,
	requestId: string,
): Response => {
	if (result.kind === 'error') {
		return createErrorResponse(result.error, requestId, result.retryAfterMs);
	}

	const headers: Array<[string, string]> = result.headers.map(
		([name, value]) => [name, value],
	);
	headers.push(
		[headerNames.requestId, requestId],
		[headerNames.outcome, 'ran'],
		[headerNames.attempts, String(result.attempts)],
	);
	const body = statusesWithoutBody.has(result.status) ? null : result.body;
	return new Response(body as Uint8Array<ArrayBuffer> | null, {
		status: result.status,
		headers,
	});
};

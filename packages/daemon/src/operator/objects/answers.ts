/** Responses shared by the operators' handlers. */
import {randomUUID} from 'node:crypto';
import type {Context} from 'hono';
import * as core from '@gullstand/core';
import type {errors} from '@gullstand/core';
import type {Row, StoreError} from '@gullstand/ports';
import {createErrorResponse} from '../../caller/answer.js';
import type {OperatorEnv} from '../types.js';
import {formatEtag} from './preconditions.js';

/** Context of an operator's request. */
export type OperatorContext = Context<OperatorEnv>;

const kindsByStoreError: Readonly<
	Record<StoreError['kind'], errors.ErrorKind>
> = {
	conflict: 'version-conflict',
	unavailable: 'store-unavailable',
	timeout: 'store-unknown',
	'too-large': 'body-too-large',
};

/** Creates the response for an error kind; `more` adds members to its body. */
export const answerError = (
	kind: errors.ErrorKind,
	more?: Readonly<Record<string, unknown>>,
): Response => {
	const response = createErrorResponse(kind, randomUUID());
	if (!more) {
		return response;
	}

	const {status, message, outcome, retry} = core.errors.getErrorAnswer(kind);
	const body = JSON.stringify({error: kind, message, outcome, retry, ...more});
	return new Response(body, {status, headers: response.headers});
};

/** Creates the response for a version conflict with the current row. */
export const answerConflict = (current: Row | undefined): Response => {
	const response = answerError('version-conflict', {
		current: current?.value ?? null,
		etag: current ? formatEtag(current.version) : null,
	});
	if (current) {
		response.headers.set('etag', formatEtag(current.version));
	}

	return response;
};

/** Creates the response for a failure of the table service. */
export const answerStoreError = (
	error: StoreError,
	more?: Readonly<Record<string, unknown>>,
): Response =>
	error.kind === 'conflict'
		? answerConflict(error.current)
		: answerError(kindsByStoreError[error.kind], more);

/** Reads the body as JSON; undefined if it is invalid. */
export const readJson = async (c: OperatorContext): Promise<unknown> => {
	try {
		return await c.req.json();
	} catch {
		return undefined;
	}
};

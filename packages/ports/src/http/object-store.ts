/** Object store over HTTP: GET, PUT and DELETE of whole objects. */
import * as core from '@gullstand/core';
import type {ObjectError, ObjectStore} from '../ports/object-store.js';
import * as messages from '../wire/messages.js';
import type {HttpCall, HttpConnection} from './connection.js';
import {timeoutKinds} from './exchange.js';

const statuses = {
	ok: 200,
	noContent: 204,
	notFound: 404,
	tooLarge: 413,
} as const;
const unavailable = 503;

const classifyStatus = (status: number): ObjectError => {
	switch (status) {
		case statuses.tooLarge: {
			return {kind: 'too-large'};
		}

		case unavailable: {
			return {kind: 'unavailable'};
		}

		default: {
			return {kind: 'timeout'};
		}
	}
};

const getPath = (name: string): string =>
	`${messages.paths.objects}/${encodeURIComponent(name)}`;

const sendChange = async (
	connection: HttpConnection,
	call: HttpCall,
): Promise<core.Result<void, ObjectError>> => {
	const result = await connection.call(call);
	if (!result.ok) {
		return result;
	}

	return result.value.status === statuses.noContent
		? core.succeed(undefined)
		: core.fail(classifyStatus(result.value.status));
};

/** Creates a client of the object store. */
export const createHttpObjectStore = (
	connection: HttpConnection,
): ObjectStore => ({
	async get(name) {
		const result = await connection.call({
			method: 'GET',
			path: getPath(name),
			timeoutKind: timeoutKinds.idle,
		});
		if (!result.ok) {
			return result;
		}

		const {status, body} = result.value;
		if (status === statuses.ok) {
			return core.succeed(body);
		}

		return status === statuses.notFound
			? core.succeed(undefined)
			: core.fail(classifyStatus(status));
	},
	put: async (name, body) =>
		sendChange(connection, {
			method: 'PUT',
			path: getPath(name),
			contentType: 'application/octet-stream',
			body,
		}),
	delete: async (name) =>
		sendChange(connection, {method: 'DELETE', path: getPath(name)}),
});

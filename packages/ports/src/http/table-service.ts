/** Table service over HTTP. */
import * as core from '@gullstand/core';
import type {TableService} from '../ports/table-service.js';
import * as messages from '../wire/messages.js';
import type {HttpConnection} from './connection.js';
import {postJson} from './json-call.js';

/** Creates a client of the table service. */
export const createHttpTableService = (
	connection: HttpConnection,
): TableService => ({
	async get(table, key) {
		const result = await postJson(connection, {
			path: messages.paths.get,
			body: {table, key},
			answer: messages.getAnswer,
			refusal: messages.storeRefusal,
		});
		return result.ok ? core.succeed(result.value.row ?? undefined) : result;
	},
	async range(query) {
		const result = await postJson(connection, {
			path: messages.paths.range,
			body: query,
			answer: messages.rangeAnswer,
			refusal: messages.storeRefusal,
		});
		return result.ok ? core.succeed(result.value.rows) : result;
	},
	commit: async (writes, operationId) =>
		postJson(connection, {
			path: messages.paths.commit,
			body: {writes, operationId},
			answer: messages.commitAnswer,
			refusal: messages.storeRefusal,
		}),
});

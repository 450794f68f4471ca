/** Instance list over HTTP. */
import * as core from '@gullstand/core';
import * as zod from 'zod';
import type {InstanceList} from '../ports/instance-list.js';
import * as messages from '../wire/messages.js';
import type {HttpConnection} from './connection.js';
import {postJson} from './json-call.js';

const refusal = zod.object({kind: zod.literal('unavailable')});

/** Creates a client of the instance list. */
export const createHttpInstanceList = (
	connection: HttpConnection,
): InstanceList => ({
	async list() {
		const result = await postJson(connection, {
			path: messages.paths.instances,
			body: {},
			answer: messages.listAnswer,
			refusal,
		});
		return result.ok ? core.succeed(result.value.instances) : result;
	},
});

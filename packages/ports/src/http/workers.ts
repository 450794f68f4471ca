/** Workers over HTTP, through the platform. */
import * as core from '@gullstand/core';
import * as zod from 'zod';
import type {WorkerError, Workers} from '../ports/workers.js';
import * as messages from '../wire/messages.js';
import type {HttpConnection} from './connection.js';
import {postJson} from './json-call.js';

const emptyAnswer = zod.object({});
const checkpointAnswer = zod.object({checkpoint: zod.string()});

const call = async <Value>(
	connection: HttpConnection,
	worker: string,
	body: messages.WorkerRequest,
	answer: zod.ZodType<Value>,
): Promise<core.Result<Value, WorkerError>> => {
	const result = await postJson(connection, {
		path: `${messages.paths.workers}/${encodeURIComponent(worker)}`,
		body,
		answer,
		refusal: messages.workerRefusal,
	});
	if (result.ok || result.error.kind !== 'unavailable') {
		return result as core.Result<Value, WorkerError>;
	}

	return core.fail({kind: 'unreachable'});
};

const sendCommand = async (
	connection: HttpConnection,
	worker: string,
	body: messages.WorkerRequest,
): Promise<core.Result<void, WorkerError>> => {
	const result = await call(connection, worker, body, emptyAnswer);
	return result.ok ? core.succeed(undefined) : result;
};

/** Creates a client of the workers. */
export const createHttpWorkers = (connection: HttpConnection): Workers => ({
	start: async (worker, task) =>
		sendCommand(connection, worker, {call: 'start', task}),
	renew: async (worker, taskIds, leaseMs) =>
		sendCommand(connection, worker, {
			call: 'renew',
			taskIds: [...taskIds],
			leaseMs,
		}),
	async checkpoint(worker, taskId) {
		const body = {call: 'checkpoint', taskId} as const;
		const result = await call(connection, worker, body, checkpointAnswer);
		return result.ok ? core.succeed(result.value.checkpoint) : result;
	},
	throttle: async (worker, taskId, share) =>
		sendCommand(connection, worker, {call: 'throttle', taskId, share}),
	stop: async (worker, taskIds) =>
		sendCommand(connection, worker, {call: 'stop', taskIds: [...taskIds]}),
	report: async (worker) =>
		call(connection, worker, {call: 'report'}, messages.workerReport),
	reboot: async (worker, incarnation) =>
		sendCommand(connection, worker, {call: 'reboot', incarnation}),
});

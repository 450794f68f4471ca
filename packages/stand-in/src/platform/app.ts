/** Serves the platform's HTTP protocol from a set of ports. */
import type * as hono from 'hono';
import * as core from '@gullstand/core';
import * as platform from '@gullstand/ports';

/** Ports that an app serves. */
export type PlatformPorts = {
	readonly tables: platform.TableService;
	readonly objects: platform.ObjectStore;
	readonly instances: platform.InstanceList;
	readonly workers: platform.Workers;
};

const statuses = {
	conflict: 409,
	refused: 409,
	'too-large': 413,
	unavailable: 503,
	unreachable: 503,
	timeout: 504,
} as const;

type Refusal = platform.StoreError | platform.WorkerError;

const refuse = (c: hono.Context, error: Refusal) => {
	const body =
		error.kind === 'conflict'
			? {...error, current: error.current ?? null}
			: error;
	return c.json(body, statuses[error.kind]);
};

const callWorker = async (
	workers: platform.Workers,
	worker: string,
	request: platform.messages.WorkerRequest,
): Promise<core.Result<unknown, platform.WorkerError>> => {
	switch (request.call) {
		case 'start': {
			return workers.start(worker, request.task);
		}

		case 'renew': {
			return workers.renew(worker, request.taskIds, request.leaseMs);
		}

		case 'checkpoint': {
			const result = await workers.checkpoint(worker, request.taskId);
			return result.ok ? core.succeed({checkpoint: result.value}) : result;
		}

		case 'throttle': {
			return workers.throttle(worker, request.taskId, request.share);
		}

		case 'stop': {
			return workers.stop(worker, request.taskIds);
		}

		case 'report': {
			return workers.report(worker);
		}

		case 'reboot': {
			return workers.reboot(worker, request.incarnation);
		}
	}
};

const addTableRoutes = (app: hono.Hono, tables: platform.TableService) => {
	const {messages} = platform;
	app.post(messages.paths.get, async (c) => {
		const {table, key} = messages.getRequest.parse(await c.req.json());
		const result = await tables.get(table, key);
		return result.ok
			? c.json({row: result.value ?? null})
			: refuse(c, result.error);
	});
	app.post(messages.paths.range, async (c) => {
		const query = messages.rangeRequest.parse(await c.req.json());
		const result = await tables.range(query);
		return result.ok ? c.json({rows: result.value}) : refuse(c, result.error);
	});
	app.post(messages.paths.commit, async (c) => {
		const body = messages.commitRequest.parse(await c.req.json());
		const result = await tables.commit(body.writes, body.operationId);
		return result.ok ? c.json(result.value) : refuse(c, result.error);
	});
};

const addObjectRoutes = (app: hono.Hono, objects: platform.ObjectStore) => {
	const path = `${platform.messages.paths.objects}/:name` as const;
	app.get(path, async (c) => {
		const result = await objects.get(c.req.param('name'));
		if (!result.ok) {
			return refuse(c, result.error);
		}

		return result.value
			? c.body(Uint8Array.from(result.value))
			: c.body(null, 404);
	});
	app.put(path, async (c) => {
		const body = new Uint8Array(await c.req.arrayBuffer());
		const result = await objects.put(c.req.param('name'), body);
		return result.ok ? c.body(null, 204) : refuse(c, result.error);
	});
	app.delete(path, async (c) => {
		const result = await objects.delete(c.req.param('name'));
		return result.ok ? c.body(null, 204) : refuse(c, result.error);
	});
};

/** Adds the routes of all ports. An invalid body is answered with 500. */
export const addPlatformRoutes = (
	app: hono.Hono,
	ports: PlatformPorts,
): void => {
	const {messages} = platform;
	addTableRoutes(app, ports.tables);
	addObjectRoutes(app, ports.objects);
	app.post(messages.paths.instances, async (c) => {
		const result = await ports.instances.list();
		return result.ok
			? c.json({instances: result.value})
			: refuse(c, result.error);
	});
	app.post(`${messages.paths.workers}/:worker`, async (c) => {
		const body = messages.workerRequest.parse(await c.req.json());
		const result = await callWorker(ports.workers, c.req.param('worker'), body);
		return result.ok ? c.json(result.value ?? {}) : refuse(c, result.error);
	});
};

/** The baseline: a pass-through with hono and undici. */
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createAdaptorServer, type HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import {Pool} from 'undici';

const connectionsPerExecutor = 8;

/** Starts the baseline gateway on a free port of 127.0.0.1. */
export const startPlainGateway = async (
	upstreamPorts: readonly number[],
): Promise<{port: number}> => {
	const pools = upstreamPorts.map(
		(port) =>
			new Pool(`http://127.0.0.1:${port}`, {
				connections: connectionsPerExecutor,
				pipelining: 1,
			}),
	);
	let next = 0;
	const app = new Hono<{Bindings: HttpBindings}>();
	app.all('*', async (c) => {
		next = (next + 1) % pools.length;
		const body = await c.req.arrayBuffer();
		const res = await pools[next]!.request({
			path: c.req.path,
			method: c.req.method,
			headers: {
				'content-type': c.req.header('content-type') ?? 'text/plain',
			},
			body: new Uint8Array(body),
		});
		return new Response(await res.body.arrayBuffer(), {
			status: res.statusCode,
			headers: {'content-type': String(res.headers['content-type'])},
		});
	});
	const server = createAdaptorServer({fetch: app.fetch}) as Server;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {port: (server.address() as AddressInfo).port};
};

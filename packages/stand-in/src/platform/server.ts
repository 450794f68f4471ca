/**
 * Serves the in-memory platform over HTTP on 127.0.0.1, with fault injection. A
 * lost request or reply closes the connection without an answer.
 */
import type {AddressInfo} from 'node:net';
import * as timers from 'node:timers/promises';
import * as nodeServer from '@hono/node-server';
import * as hono from 'hono';
import * as platform from '@gullstand/ports';
import {addPlatformRoutes, type PlatformPorts} from './app.js';

/** Options of a stand-in platform. */
export type PlatformServerOptions = {
	/** Returns a number in [0, 1), which chooses faults. */
	readonly random: () => number;
	/** Port to listen on; 0, the default, chooses a free one. */
	readonly port?: number;
	/** Replacements for some of the in-memory ports. */
	readonly ports?: Partial<PlatformPorts>;
};

/** A listening stand-in platform. */
export type PlatformServer = {
	readonly origin: string;
	readonly faults: platform.faults.FaultControl;
	readonly tables: platform.MemoryTableService;
	readonly instances: platform.MemoryInstanceList;
	readonly ports: PlatformPorts;
	/** Number of calls received since the start, by path. */
	readonly calls: ReadonlyMap<string, number>;
	readonly close: () => Promise<void>;
};

type Environment = {readonly Bindings: nodeServer.HttpBindings};

const waitMs = async (delayMs: number): Promise<void> => {
	if (delayMs > 0) {
		await timers.setTimeout(delayMs, undefined, {ref: false});
	}
};

const addFaults = (
	app: hono.Hono<Environment>,
	faults: platform.faults.FaultControl,
): void => {
	app.use(async (c, next) => {
		const fault = faults.next();
		await faults.wait(fault.delayMs / 2);
		if (fault.kind === 'unavailable') {
			return c.json({kind: 'unavailable'}, 503);
		}

		if (fault.kind === 'request-lost') {
			c.env.incoming.socket.destroy();
			return c.body(null);
		}

		await next();
		await faults.wait(fault.delayMs / 2);
		if (fault.kind === 'reply-lost') {
			c.env.incoming.socket.destroy();
		}

		return undefined;
	});
};

const createPorts = (
	faults: platform.faults.FaultControl,
	tables: platform.TableService,
	instances: platform.InstanceList,
): PlatformPorts => ({
	tables,
	objects: platform.createMemoryObjectStore(),
	instances: {
		list: platform.faults.wrapStaleList(instances, faults),
	},
	workers: platform.createMemoryWorkers({workers: [], now: () => Date.now()}),
});

/** Starts a stand-in platform; the caller closes it. */
export const startPlatformServer = async (
	options: PlatformServerOptions,
): Promise<PlatformServer> => {
	const faults = platform.faults.createFaultControl({
		random: options.random,
		wait: waitMs,
		timeoutMs: 0,
	});
	const tables = platform.createMemoryTableService();
	const instances = platform.createMemoryInstanceList();
	const ports = {
		...createPorts(faults, tables, instances),
		...options.ports,
	};
	const calls = new Map<string, number>();
	const app = new hono.Hono<Environment>();
	app.use(async (c, next) => {
		calls.set(c.req.path, (calls.get(c.req.path) ?? 0) + 1);
		await next();
	});
	addFaults(app, faults);
	addPlatformRoutes(app as unknown as hono.Hono, ports);
	const server = await listen(app, options.port ?? 0);
	const {port} = server.address() as AddressInfo;
	return {
		origin: `http://127.0.0.1:${port}`,
		faults,
		tables,
		instances,
		ports,
		calls,
		close: async () => close(server),
	};
};

const listen = async (
	app: hono.Hono<Environment>,
	port: number,
): Promise<nodeServer.ServerType> =>
	new Promise((resolve) => {
		const server = nodeServer.serve(
			{fetch: app.fetch, port, hostname: '127.0.0.1'},
			() => {
				resolve(server);
			},
		);
	});

const close = async (server: nodeServer.ServerType): Promise<void> =>
	new Promise((resolve) => {
		server.close(() => {
			resolve();
		});
		if ('closeAllConnections' in server) {
			server.closeAllConnections();
		}
	});

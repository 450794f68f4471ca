/**
 * Measures how long refused callers wait over loopback sockets, at twice the
 * capacity of executors that timers simulate.
 */
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {createAdaptorServer} from '@hono/node-server';
import * as hdr from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import * as core from '@gullstand/core';
import * as daemon from '@gullstand/daemon';
import type {Figures} from '../../frame/types.js';

const slots = 16;
const serviceMs = 100;
const answerWithinMs = 500;
/** Twice the rate that the slots can serve. */
const requestsPerSecond = (2 * slots * 1000) / serviceMs;
const token = 'bench';

const service: core.Service = {
	name: 'quote',
	pool: 'quote',
	slotsPerExecutor: 8,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: [503]},
};

const contract: core.Contract = {
	customer: 'bench',
	weight: 1,
	tokenHashes: [daemon.hashToken(token)],
	services: [
		{
			service: service.name,
			keepExecutors: 2,
			maxAway: 1,
			answerWithinMs,
			requestsPerSecond: requestsPerSecond / 4,
		},
	],
	jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 1500},
};

const view: core.View = {
	...core.emptyView,
	revision: 1,
	services: new Map([[service.name, service]]),
	contracts: new Map([[contract.customer, contract]]),
};

const answer = async (): Promise<daemon.CallResult> => {
	await delay(serviceMs);
	const body = new Uint8Array();
	const executor = 'timer';
	return {
		kind: 'answer',
		status: 200,
		headers: [],
		body,
		executor,
		attempts: 1,
	};
};

const startServer = async (): Promise<Server> => {
	const settings = daemon.createEmbeddedSettings();
	const now = () => performance.now();
	const getView = () => view;
	const admission = daemon.createAdmissionLayer({
		getView,
		now,
		settings: {maxQueued: 10_000, transitMs: 0},
		getShare: () => 1,
		getSlots: () => slots,
	});
	const app = daemon.createCallerApp({
		settings: settings.caller,
		getView,
		handle: admission.layer(answer),
		now,
		logger: daemon.createLogger(
			{...settings.log, level: 'error'},
			'bench',
			new PassThrough().resume(),
		),
		metrics: daemon.createMetrics(),
		isStopping: () => false,
	});
	const server = createAdaptorServer({fetch: app.fetch}) as Server;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
};

type Counts = {answered: number; late: number; refused: number; other: number};

/** Sends at a constant rate and measures the answers. */
export const measureSockets = async (seconds: number): Promise<Figures> => {
	const server = await startServer();
	const {port} = server.address() as AddressInfo;
	const url = `http://127.0.0.1:${port}/s/quote/`;
	const agent = new Agent({connections: 256, pipelining: 1});
	const headers = {authorization: `Bearer ${token}`};
	const refusedMicros = hdr.build();
	const counts: Counts = {answered: 0, late: 0, refused: 0, other: 0};
	const send = async () => {
		const sentAt = performance.now();
		const res = await request(url, {dispatcher: agent, headers});
		await res.body.arrayBuffer();
		const tookMs = performance.now() - sentAt;
		if (res.statusCode === 200) {
			counts[tookMs <= answerWithinMs ? 'answered' : 'late'] += 1;
		} else if (res.headers['gullstand-outcome'] === 'not-run') {
			counts.refused += 1;
			refusedMicros.recordValue(Math.round(tookMs * 1000));
		} else {
			counts.other += 1;
		}
	};

	const pending: Array<Promise<void>> = [];
	const startedAt = performance.now();
	const total = requestsPerSecond * seconds;
	while (pending.length < total) {
		const due = ((performance.now() - startedAt) / 1000) * requestsPerSecond;
		while (pending.length < Math.min(due, total)) {
			pending.push(send());
		}

		await delay(1);
	}

	await Promise.all(pending);
	await agent.close();
	server.close();
	const capacity = (slots * seconds * 1000) / serviceMs;
	return {
		socketGoodput: counts.answered / capacity,
		socketLate: counts.late,
		socketRefused: counts.refused,
		socketOther: counts.other,
		socketNotRunP50Ms: refusedMicros.getValueAtPercentile(50) / 1000,
		socketNotRunP99Ms: refusedMicros.getValueAtPercentile(99) / 1000,
		socketNotRunMaxMs: refusedMicros.maxValue / 1000,
	};
};

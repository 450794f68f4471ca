import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import * as core from '@gullstand/core';
import * as tap from 'tap';
import {createCancellation} from '../caller/cancellation.js';
import {type Call, createError} from '../caller/call.js';
import {createPeerChannel} from '../peers/peer-channel.js';
import {defaultUpstreamConfig} from '../upstream/types.js';
import {createUpstream} from '../upstream/upstream.js';
import {
	type CreditPeer,
	createCreditChannel,
	formatMember,
} from './credit-channel.js';
import {createCreditLimits} from './credit-limits.js';

const slots = 4;
const now = () => performance.now();
const service: core.Service = {
	name: 'quotes',
	pool: 'quotes',
	slotsPerExecutor: slots,
	connectionsPerExecutor: 64,
	idempotent: true,
	nonRepeatableRoutes: [],
	refusal: {statuses: []},
};
const settings = {...core.creditMessages.defaultSettings, fallbackFraction: 1};

const getEmptyCall = (deadline: number): Call => ({
	requestId: 'r',
	contract: {
		customer: 'c',
		weight: 1,
		services: [],
		jobs: {cores: 0, memoryMb: 0, accelerators: 0, urgentStartMs: 0},
		tokenHashes: [],
	},
	terms: {
		service: 'quotes',
		keepExecutors: 1,
		maxAway: 0,
		answerWithinMs: 1000,
		requestsPerSecond: 1,
	},
	service,
	requestClass: 'standard',
	method: 'GET',
	path: '/',
	headers: {},
	body: new Uint8Array(),
	receivedAt: now(),
	deadline,
	idempotent: true,
	cancellation: createCancellation(),
});

/** An executor that answers after a delay and counts requests in flight. */
const startExecutor = async (t: tap.Test) => {
	const counts = {inFlight: 0, most: 0, answered: 0, connections: 0};
	const server = createServer((req, res) => {
		if (req.method === 'OPTIONS') {
			res.end();
			return;
		}

		counts.inFlight++;
		counts.most = Math.max(counts.most, counts.inFlight);
		setTimeout(
			() => {
				counts.inFlight--;
				counts.answered++;
				res.end('done');
			},
			10 + (counts.answered % 3) * 10,
		);
	});
	let open = 0;
	server.on('connection', (socket) => {
		open++;
		counts.connections = Math.max(counts.connections, open);
		socket.on('close', () => {
			open--;
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {counts, address: `127.0.0.1:${port}`};
};

type Link = {isCut: boolean};

const startEntry = async (
	t: tap.Test,
	entry: string,
	address: string,
	{peers, link}: {peers: CreditPeer[]; link: Link},
) => {
	const identity = {entry, incarnation: '1'};
	const self = formatMember(entry, '1');
	const channel = createPeerChannel({
		settings: {address: '127.0.0.1', port: 0, keyHex: 'ab'.repeat(32)},
		self: identity,
		now,
		wallNow: () => Date.now(),
		logger: {warn: () => undefined as never},
	});
	const credits = createCreditChannel(channel);
	const limits = createCreditLimits({
		self,
		channel: {
			onMessages: credits.onMessages,
			send: async (peer, messages, isLeaving) =>
				link.isCut
					? {kind: 'lost', messages: []}
					: credits.send(peer, messages, isLeaving),
		},
		now,
		settings,
		unresponsiveAfterMs: core.unresponsiveMembers.defaultUnresponsiveAfterMs,
		listPeers: () => peers.filter((each) => each.member !== self),
		getSlots: () => new Map([['quotes', new Map([['x', slots]])]]),
		mayRoute: () => true,
		random: () => 0.5,
		getOwnLimit: () => slots,
	});
	const upstream = createUpstream({
		service,
		cfg: defaultUpstreamConfig,
		clock: now,
		random: () => 0.5,
		takeSlot: limits.getTakeSlot(service),
	});
	upstream.setExecutors([{id: 'x', address, availabilityZone: 'a'}]);
	await channel.start(() => undefined);
	peers.push({member: self, address: channel.getAddress()});
	const handle = limits.layer(async ({method, path, deadline}) => {
		const result = await upstream.dispatch({
			method,
			path,
			headers: {},
			body: undefined,
			repeatable: true,
			deadline,
		});
		return result.kind === 'error'
			? createError(result.error, result.attempts)
			: {...result, headers: [], body: new Uint8Array()};
	});
	let isStopped = false;
	const stop = async () => {
		if (!isStopped) {
			isStopped = true;
			await limits.stop(0);
			await upstream.close(0);
			await channel.stop(0);
		}
	};

	t.teardown(stop);
	return {self, limits, handle, stop};
};

type Entry = Awaited<ReturnType<typeof startEntry>>;

const startFleet = async (t: tap.Test, names: readonly string[]) => {
	const executor = await startExecutor(t);
	const peers: CreditPeer[] = [];
	const link: Link = {isCut: false};
	const entries: Entry[] = [];
	for (const name of names) {
		entries.push(await startEntry(t, name, executor.address, {peers, link}));
	}

	for (const {limits} of entries) {
		await limits.start(() => undefined);
	}

	return {...executor, entries, peers, link};
};

const answerWithinMs = 20_000;

/** Sends calls concurrently; returns the kinds of the results. */
const sendCalls = async (
	{handle}: Entry,
	count: number,
	withinMs = answerWithinMs,
) => {
	const results = await Promise.all(
		Array.from({length: count}, async () =>
			handle(getEmptyCall(now() + withinMs)),
		),
	);
	return new Set(
		results.map((each) => (each.kind === 'error' ? each.error : each.kind)),
	);
};

tap.t.test('three entries never exceed the slots of an executor', async (t) => {
	const {entries, counts} = await startFleet(t, ['e1', 'e2', 'e3']);
	const kinds = await Promise.all(
		entries.map(async (entry, index) =>
			sendCalls(entry, index === 0 ? 120 : 40),
		),
	);
	t.same(
		kinds,
		entries.map(() => new Set(['answer'])),
	);
	t.equal(counts.answered, 200);
	t.equal(counts.most, slots, 'all slots are used, and no more');
	t.ok(counts.connections <= 64);
});

tap.t.test('a single active entry gets every slot', async (t) => {
	const {entries, counts} = await startFleet(t, ['e1', 'e2', 'e3']);
	for (const entry of entries) {
		counts.most = 0;
		t.same(await sendCalls(entry, 40), new Set(['answer']));
		t.equal(counts.most, slots);
	}
});

tap.t.test('the slots of a stopped entry pass to the others', async (t) => {
	const {entries, counts} = await startFleet(t, ['e1', 'e2', 'e3']);
	const stopped = entries.find(
		({limits}) => limits.getGate('quotes').getLimits().coordinator,
	);
	const remaining = entries.filter((each) => each !== stopped);
	for (const entry of entries) {
		await sendCalls(entry, 5);
	}

	await stopped?.stop();
	counts.most = 0;
	const kinds = await Promise.all(
		remaining.map(async (entry) => sendCalls(entry, 40)),
	);
	t.same(
		kinds,
		remaining.map(() => new Set(['answer'])),
	);
	t.equal(counts.most, slots);
});

tap.t.test(
	'entries without contact to peers use their static share',
	async (t) => {
		const {entries, counts, link} = await startFleet(t, ['e1', 'e2']);
		link.isCut = true;
		const kinds = await Promise.all(
			entries.map(async (entry) => sendCalls(entry, 20)),
		);
		t.same(
			kinds,
			entries.map(() => new Set(['answer'])),
		);
		t.ok(counts.most <= slots, `${counts.most} in flight`);
		t.ok(counts.most >= 1);
	},
);

// Guards against a call being refused since another entry's is more urgent.
tap.t.test(
	'a call whose slot passes to a more urgent one of another entry waits on',
	async (t) => {
		const {entries, counts} = await startFleet(t, ['e1', 'e2', 'e3']);
		const kinds = await Promise.all(
			entries.map(async (entry, index) => {
				// The later they are sent, the more urgent they are.
				await wait(30 * index);
				return sendCalls(entry, 40, answerWithinMs / (index + 1));
			}),
		);
		t.same(
			kinds,
			entries.map(() => new Set(['answer'])),
		);
		t.equal(counts.answered, 120);
		t.equal(counts.most, slots);
	},
);

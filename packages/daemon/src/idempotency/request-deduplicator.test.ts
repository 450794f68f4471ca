import {Buffer} from 'node:buffer';
import * as core from '@gullstand/core';
import * as platform from '@gullstand/ports';
import * as standIn from '@gullstand/stand-in';
import * as tap from 'tap';
import {createCancellation} from '../caller/cancellation.js';
import {defaultGroupSettings} from './group-writer.js';
import {
	type AtMostOnceRequest,
	createRequestDeduplicator,
} from './request-deduplicator.js';

type RunResult = core.idempotency.RunResult;
type Reply = core.idempotency.Reply;
type Fault = platform.faults.FaultKind;

const storeTimeoutMs = 300;
const deadlineMs = 5000;

const answer = (body: string): RunResult => ({
	kind: 'answered',
	answer: {status: 201, headers: [['a', 'b']], body: Buffer.from(body)},
});

/** Two entries over one store, and an executor that counts. */
const createWorld = (group = defaultGroupSettings) => {
	const clock = standIn.createVirtualClock();
	const tables = platform.createMemoryTableService();
	const objects = platform.createMemoryObjectStore();
	const control = platform.faults.createFaultControl({
		random: () => 0.5,
		wait: clock.wait,
		timeoutMs: storeTimeoutMs,
	});
	let ids = 0;
	const createEntry = (entry: string, incarnation = 'a') =>
		createRequestDeduplicator({
			tables: platform.faults.wrapTableService(tables, control),
			objects,
			clock: {
				getTime: () => ({now: clock.getNow(), date: clock.getNow()}),
				callAt: clock.callAt,
			},
			randomness: {
				createId: () => String(++ids),
				draw: () => 0.5,
			},
			settings: core.idempotency.defaultSettings,
			groupSettings: group,
			maxAttempts: 100,
			entry,
			incarnation,
		});
	let runs = 0;
	const createRequest = (
		result: RunResult,
		changes: Partial<AtMostOnceRequest> = {},
	): AtMostOnceRequest => ({
		customer: 'broker',
		key: 'k',
		service: 'claims',
		method: 'POST',
		path: '/claims',
		bodyHash: 'h',
		deadline: clock.getNow() + deadlineMs,
		async dispatch() {
			runs++;
			await clock.wait(100);
			return result;
		},
		...changes,
	});
	/** Runs the clock until a reply is there. */
	const wait = async <Value>(promise: Promise<Value>): Promise<Value> => {
		await clock.runUntil(clock.getNow() + 2 * deadlineMs);
		return promise;
	};

	return {
		clock,
		tables,
		objects,
		control,
		createEntry,
		createRequest,
		wait,
		getRuns: () => runs,
	};
};

const describe = (reply: Reply): string =>
	reply.kind === 'answer'
		? `${Buffer.from(reply.answer.body).toString()}${reply.isReplay ? ' again' : ''}`
		: `${reply.error} ${reply.outcome}`;

type Row = {
	readonly name: string;
	readonly faults: readonly Fault[];
	readonly result: RunResult;
	readonly first: string;
	/** After the first reply, on another entry. */
	readonly second: string;
	readonly runs: number;
};

const refused: RunResult = {kind: 'refused', error: 'upstream-refused'};
const lost: RunResult = {kind: 'lost', error: 'upstream-reset'};
const down: Fault[] = ['unavailable', 'unavailable', 'unavailable'];

const table: Row[] = [
	{
		name: 'no fault',
		faults: [],
		result: answer('x'),
		first: 'x',
		second: 'x again',
		runs: 1,
	},
	{
		name: 'a large answer',
		faults: [],
		result: answer('y'.repeat(5000)),
		first: 'y'.repeat(5000),
		second: `${'y'.repeat(5000)} again`,
		runs: 1,
	},
	{
		name: 'a declared refusal gives the key back',
		faults: [],
		result: refused,
		first: 'upstream-refused not-run',
		second: 'upstream-refused not-run',
		runs: 2,
	},
	{
		name: 'a refusal whose release has no reply gives the key back',
		faults: ['none', 'none', 'reply-lost'],
		result: refused,
		first: 'upstream-refused not-run',
		second: 'upstream-refused not-run',
		runs: 2,
	},
	{
		name: 'a lost outcome is final',
		faults: [],
		result: lost,
		first: 'upstream-reset unknown',
		second: 'outcome-unknown unknown',
		runs: 1,
	},
	{
		name: 'the store is down for the read',
		faults: down,
		result: answer('x'),
		first: 'key-unread unknown',
		second: 'x',
		runs: 1,
	},
	{
		name: 'the store is down for the started write',
		faults: ['none', ...down],
		result: answer('x'),
		first: 'key-unread unknown',
		second: 'x',
		runs: 1,
	},
	{
		name: 'the reply to the started write is lost, and read back',
		faults: ['none', 'reply-lost'],
		result: answer('x'),
		first: 'x',
		second: 'x again',
		runs: 1,
	},
	{
		name: 'the started write is lost, and sent again',
		faults: ['none', 'request-lost'],
		result: answer('x'),
		first: 'x',
		second: 'x again',
		runs: 1,
	},
	{
		name: 'the started write stays in doubt, and is given back later',
		faults: ['none', 'reply-lost', ...down, ...down, ...down],
		result: answer('x'),
		first: 'store-unknown unknown',
		second: 'x',
		runs: 1,
	},
	{
		name: 'the finished write is lost, and sent again',
		faults: ['none', 'none', 'request-lost'],
		result: answer('x'),
		first: 'x',
		second: 'x again',
		runs: 1,
	},
];

for (const row of table) {
	tap.t.test(row.name, async (t) => {
		const world = createWorld();
		const [one, two] = ['entry-1', 'entry-2'].map((name) =>
			world.createEntry(name),
		);
		world.control.script(row.faults);
		const first = one?.handle(world.createRequest(row.result));
		t.equal(first && describe(await world.wait(first)), row.first);
		const second = two?.handle(world.createRequest(row.result));
		t.equal(second && describe(await world.wait(second)), row.second);
		t.equal(world.getRuns(), row.runs);
		t.equal(one?.getOpenCount(), 0);
		t.equal(two?.getOpenCount(), 0);
	});
}

tap.t.test('requests at once on two entries run once', async (t) => {
	const world = createWorld();
	const entries = [world.createEntry('entry-1'), world.createEntry('entry-2')];
	const replies = await world.wait(
		Promise.all(
			[...entries, ...entries].map(async (each) =>
				each.handle(world.createRequest(answer('x'))),
			),
		),
	);
	t.same(replies.map((reply) => describe(reply)).sort(), [
		'x',
		'x',
		'x again',
		'x again',
	]);
	t.equal(world.getRuns(), 1);
});

tap.t.test('another body under the key is refused', async (t) => {
	const world = createWorld();
	const entry = world.createEntry('entry-1');
	await world.wait(entry.handle(world.createRequest(answer('x'))));
	const other = world.createRequest(answer('x'), {bodyHash: 'other'});
	const reply = await world.wait(entry.handle(other));
	t.equal(describe(reply), 'key-reused not-run');
	const customer = world.createRequest(answer('x'), {customer: 'other'});
	t.equal(describe(await world.wait(entry.handle(customer))), 'x');
});

tap.t.test('a slow store is given up in bounded time', async (t) => {
	const world = createWorld();
	const entry = world.createEntry('entry-1');
	world.control.set({requestLostShare: 1});
	const startedAt = world.clock.getNow();
	let repliedAt = Number.NaN;
	const send = async () => {
		const reply = await entry.handle(world.createRequest(answer('x')));
		repliedAt = world.clock.getNow();
		return reply;
	};

	t.equal(describe(await world.wait(send())), 'key-unread unknown');
	t.ok(repliedAt - startedAt <= core.idempotency.defaultSettings.storeWithinMs);
	t.equal(world.getRuns(), 0);
});

tap.t.test('nothing is sent for a caller that has gone', async (t) => {
	const world = createWorld();
	const entry = world.createEntry('entry-1');
	const leaving = createCancellation();
	world.control.set({delayMs: 50});
	const reply = entry.handle(
		world.createRequest(answer('x'), {cancellation: leaving}),
	);
	await world.clock.runUntil(60);
	leaving.cancel();
	t.equal(describe(await world.wait(reply)), 'cancelled unknown');
	t.equal(world.getRuns(), 0);
	const again = entry.handle(world.createRequest(answer('x')));
	t.equal(describe(await world.wait(again)), 'x', 'the key was given back');
});

tap.t.test(
	'what was sent is recorded though its caller has gone',
	async (t) => {
		const world = createWorld();
		const entry = world.createEntry('entry-1');
		const leaving = createCancellation();
		const reply = entry.handle(
			world.createRequest(answer('x'), {cancellation: leaving}),
		);
		await world.clock.runUntil(60);
		t.equal(world.getRuns(), 1);
		leaving.cancel();
		t.equal(describe(await world.wait(reply)), 'cancelled unknown');
		const again = entry.handle(world.createRequest(answer('x')));
		t.equal(describe(await world.wait(again)), 'x again');
		t.equal(world.getRuns(), 1);
	},
);

tap.t.test('an entry stops when its attempts have ended', async (t) => {
	const world = createWorld();
	const entry = world.createEntry('entry-1');
	const reply = entry.handle(world.createRequest(answer('x')));
	await world.clock.runUntil(50);
	let isStopped = false;
	const stop = async () => {
		await entry.stop();
		isStopped = true;
	};

	const stopped = stop();
	const late = entry.handle(world.createRequest(answer('x'), {key: 'late'}));
	t.equal(describe(await late), 'key-unread unknown');
	t.equal(isStopped, false);
	t.equal(describe(await world.wait(reply)), 'x');
	await stopped;
	t.equal(entry.getOpenCount(), 0);
});

tap.t.test('writes share commits, and a conflict fails one key', async (t) => {
	const world = createWorld();
	const [one, two] = [
		world.createEntry('entry-1'),
		world.createEntry('entry-2'),
	];
	const send = async (entry: typeof one, key: string) =>
		describe(await entry.handle(world.createRequest(answer('x'), {key})));
	const replies = await world.wait(
		Promise.all([
			...['1', '2', '3'].map(async (key) => send(one, key)),
			...['3', '4', '5'].map(async (key) => send(two, key)),
		]),
	);
	t.same(replies, ['x', 'x', 'x', 'x again', 'x', 'x']);
	t.equal(world.getRuns(), 5);
	t.equal(one.getCommitCount(), 2, 'started, finished');
	t.equal(two.getCommitCount(), 3, 'started, the rest of it, finished');
});

tap.t.test('one key with two bodies in one window', async (t) => {
	const world = createWorld();
	const entry = world.createEntry('entry-1');
	const send = async (bodyHash: string) =>
		describe(await entry.handle(world.createRequest(answer('x'), {bodyHash})));
	const replies = await world.wait(Promise.all([send('h'), send('other')]));
	t.same(replies, ['x', 'key-reused not-run']);
	t.equal(world.getRuns(), 1);
});

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

/** Entries over one store, and an executor that counts its runs. */
const createFixture = (group = defaultGroupSettings) => {
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
	/** Advances the clock past the deadline and returns the reply. */
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
	/** Reply to a repeat on another entry, sent after the first reply. */
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
		name: 'a declared refusal releases the key',
		faults: [],
		result: refused,
		first: 'upstream-refused not-run',
		second: 'upstream-refused not-run',
		runs: 2,
	},
	{
		name: 'a refusal whose release has no reply releases the key',
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
		name: 'the started write stays unknown and is released later',
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
		const fixture = createFixture();
		const [one, two] = ['entry-1', 'entry-2'].map((name) =>
			fixture.createEntry(name),
		);
		fixture.control.script(row.faults);
		const first = one?.handle(fixture.createRequest(row.result));
		t.equal(first && describe(await fixture.wait(first)), row.first);
		const second = two?.handle(fixture.createRequest(row.result));
		t.equal(second && describe(await fixture.wait(second)), row.second);
		t.equal(fixture.getRuns(), row.runs);
		t.equal(one?.getOpenCount(), 0);
		t.equal(two?.getOpenCount(), 0);
	});
}

tap.t.test('concurrent requests on two entries run once', async (t) => {
	const fixture = createFixture();
	const entries = [
		fixture.createEntry('entry-1'),
		fixture.createEntry('entry-2'),
	];
	const replies = await fixture.wait(
		Promise.all(
			[...entries, ...entries].map(async (each) =>
				each.handle(fixture.createRequest(answer('x'))),
			),
		),
	);
	t.same(replies.map((reply) => describe(reply)).sort(), [
		'x',
		'x',
		'x again',
		'x again',
	]);
	t.equal(fixture.getRuns(), 1);
});

tap.t.test('another body under the key is refused', async (t) => {
	const fixture = createFixture();
	const entry = fixture.createEntry('entry-1');
	await fixture.wait(entry.handle(fixture.createRequest(answer('x'))));
	const other = fixture.createRequest(answer('x'), {bodyHash: 'other'});
	const reply = await fixture.wait(entry.handle(other));
	t.equal(describe(reply), 'key-reused not-run');
	const customer = fixture.createRequest(answer('x'), {customer: 'other'});
	t.equal(describe(await fixture.wait(entry.handle(customer))), 'x');
});

tap.t.test(
	'a request fails in bounded time if the store does not answer',
	async (t) => {
		const fixture = createFixture();
		const entry = fixture.createEntry('entry-1');
		fixture.control.set({requestLostShare: 1});
		const startedAt = fixture.clock.getNow();
		let repliedAt = Number.NaN;
		const send = async () => {
			const reply = await entry.handle(fixture.createRequest(answer('x')));
			repliedAt = fixture.clock.getNow();
			return reply;
		};

		t.equal(describe(await fixture.wait(send())), 'key-unread unknown');
		t.ok(
			repliedAt - startedAt <= core.idempotency.defaultSettings.storeWithinMs,
		);
		t.equal(fixture.getRuns(), 0);
	},
);

tap.t.test(
	'nothing is dispatched for a caller that has disconnected',
	async (t) => {
		const fixture = createFixture();
		const entry = fixture.createEntry('entry-1');
		const cancellation = createCancellation();
		fixture.control.set({delayMs: 50});
		const reply = entry.handle(
			fixture.createRequest(answer('x'), {cancellation}),
		);
		await fixture.clock.runUntil(60);
		cancellation.cancel();
		t.equal(describe(await fixture.wait(reply)), 'cancelled unknown');
		t.equal(fixture.getRuns(), 0);
		const again = entry.handle(fixture.createRequest(answer('x')));
		t.equal(describe(await fixture.wait(again)), 'x', 'the key was released');
	},
);

tap.t.test(
	'the answer is recorded after its caller has disconnected',
	async (t) => {
		const fixture = createFixture();
		const entry = fixture.createEntry('entry-1');
		const cancellation = createCancellation();
		const reply = entry.handle(
			fixture.createRequest(answer('x'), {cancellation}),
		);
		await fixture.clock.runUntil(60);
		t.equal(fixture.getRuns(), 1);
		cancellation.cancel();
		t.equal(describe(await fixture.wait(reply)), 'cancelled unknown');
		const again = entry.handle(fixture.createRequest(answer('x')));
		t.equal(describe(await fixture.wait(again)), 'x again');
		t.equal(fixture.getRuns(), 1);
	},
);

tap.t.test('an entry stops when its attempts have ended', async (t) => {
	const fixture = createFixture();
	const entry = fixture.createEntry('entry-1');
	const reply = entry.handle(fixture.createRequest(answer('x')));
	await fixture.clock.runUntil(50);
	let isStopped = false;
	const stop = async () => {
		await entry.stop();
		isStopped = true;
	};

	const stopped = stop();
	const late = entry.handle(fixture.createRequest(answer('x'), {key: 'late'}));
	t.equal(describe(await late), 'key-unread unknown');
	t.equal(isStopped, false);
	t.equal(describe(await fixture.wait(reply)), 'x');
	await stopped;
	t.equal(entry.getOpenCount(), 0);
});

tap.t.test(
	'writes share commits, and a conflict affects one key',
	async (t) => {
		const fixture = createFixture();
		const [one, two] = [
			fixture.createEntry('entry-1'),
			fixture.createEntry('entry-2'),
		];
		const send = async (entry: typeof one, key: string) =>
			describe(await entry.handle(fixture.createRequest(answer('x'), {key})));
		const replies = await fixture.wait(
			Promise.all([
				...['1', '2', '3'].map(async (key) => send(one, key)),
				...['3', '4', '5'].map(async (key) => send(two, key)),
			]),
		);
		t.same(replies, ['x', 'x', 'x', 'x again', 'x', 'x']);
		t.equal(fixture.getRuns(), 5);
		t.equal(one.getCommitCount(), 2, 'started, finished');
		t.equal(two.getCommitCount(), 3, 'started, the rest of it, finished');
	},
);

tap.t.test('concurrent requests with one key and two bodies', async (t) => {
	const fixture = createFixture();
	const entry = fixture.createEntry('entry-1');
	const send = async (bodyHash: string) =>
		describe(
			await entry.handle(fixture.createRequest(answer('x'), {bodyHash})),
		);
	const replies = await fixture.wait(Promise.all([send('h'), send('other')]));
	t.same(replies, ['x', 'key-reused not-run']);
	t.equal(fixture.getRuns(), 1);
});

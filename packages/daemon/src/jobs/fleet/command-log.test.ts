import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {fleetShard, singleKeys, tables} from '../rows/tables.js';
import type {StoreClockReading} from '../rows/store-clock.js';
import {createCommandLog} from './command-log.js';

const turnoverMs = 3000;

/** Creates a store and logs whose clocks the test advances. */
const createTestEnvironment = async () => {
	/** Answers of the store are read `delayMs` late. */
	const clock: {
		at: number;
		delayMs: number;
		/** Time in which the local clock stood still. */
		suspendedMs: number;
		/** By other calls of the daemon. */
		reading: StoreClockReading | undefined;
	} = {at: 10_000, delayMs: 0, suspendedMs: 0, reading: undefined};
	const inner = ports.createMemoryRowStore();
	const withClock = <Value extends {nowMs: number}, Failure>(
		result:
			| {readonly ok: true; readonly value: Value}
			| {readonly ok: false; readonly error: Failure},
	) => {
		const nowMs = clock.at + clock.suspendedMs + 500;
		clock.at += clock.delayMs;
		return result.ok
			? {ok: true as const, value: {...result.value, nowMs}}
			: result;
	};

	const store: ports.RowStore = {
		...inner,
		transact: async (...args) => withClock(await inner.transact(...args)),
		read: async (...args) => withClock(await inner.read(...args)),
	};
	const lease = {table: tables.lease, part: fleetShard, key: singleKeys.lease};
	const claimLease = async () => {
		const result = await inner.transact(
			{checks: [], puts: [{...lease, value: '{}'}], removes: []},
			100,
		);
		return result.ok ? result.value.version : 0;
	};

	const open = async () => {
		const lost: string[] = [];
		const log = createCommandLog({
			store,
			held: {
				shard: fleetShard,
				token: 1,
				version: await claimLease(),
				previous: 'silent',
				previousHolder: undefined,
			},
			clock: {
				now: () => clock.at,
				epochNow: () => clock.at + clock.suspendedMs,
			},
			getStoreTime: () => clock.reading,
			turnoverMs,
			logger: {warn: () => undefined as never},
			onLost() {
				lost.push('lost');
			},
		});
		await log.load();
		return {log, lost};
	};

	return {clock, inner, open};
};

tap.t.test(
	'a machine of the previous holder gets no commands within the turnover time',
	async (t) => {
		const env = await createTestEnvironment();
		const first = await env.open();
		t.ok(await first.log.record(['a']));
		t.ok(first.log.mayCommand('a'), 'the same holder may continue');
		env.clock.at += 1000;
		const second = await env.open();
		t.notOk(second.log.mayCommand('a'));
		t.ok(second.log.mayCommand('b'));
		env.clock.at += turnoverMs - 1000;
		t.notOk(second.log.mayCommand('a'), 'the command may have been in transit');
		env.clock.at += 500;
		t.ok(second.log.mayCommand('a'));
	},
);

for (const delayed of ['load', 'record'] as const) {
	tap.t.test(
		`the turnover time holds after a delayed answer to a ${delayed}`,
		async (t) => {
			const env = await createTestEnvironment();
			env.clock.delayMs = delayed === 'load' ? 2000 : 0;
			const first = await env.open();
			if (delayed === 'record') {
				env.clock.delayMs = 2000;
				t.ok(await first.log.record(['b']));
			}

			env.clock.delayMs = 0;
			const commandedAt = env.clock.at;
			t.ok(await first.log.record(['a']));
			const second = await env.open();
			env.clock.at = commandedAt + turnoverMs;
			t.notOk(second.log.mayCommand('a'));
		},
	);
}

type AgeCase = {
	readonly name: string;
	readonly idleMs: number;
	readonly suspendedMs: number;
	readonly hasReading: boolean;
	/** How much later than the store's clock a stamp may be. */
	readonly maxLateMs: number;
};

const ageCases: readonly AgeCase[] = [
	{
		name: 'after a suspension',
		idleMs: 0,
		suspendedMs: 5000,
		hasReading: false,
		maxLateMs: 100,
	},
	{
		name: 'after ten minutes without one, by an old reading',
		idleMs: 600_000,
		suspendedMs: 0,
		hasReading: false,
		maxLateMs: 12_000,
	},
	{
		name: 'after ten minutes without one, by a recent reading',
		idleMs: 600_000,
		suspendedMs: 0,
		hasReading: true,
		maxLateMs: 20,
	},
];

for (const {name, idleMs, suspendedMs, hasReading, maxLateMs} of ageCases) {
	tap.t.test(
		`a command ${name} is not stamped before it was sent`,
		async (t) => {
			const env = await createTestEnvironment();
			const {log} = await env.open();
			env.clock.at += idleMs;
			env.clock.suspendedMs = suspendedMs;
			const {at} = env.clock;
			env.clock.reading = hasReading
				? {nowMs: at + 500, sent: {at, epochAt: at}}
				: undefined;
			// The local clock may run 2% slow.
			const storeMs = at + 500 + suspendedMs + (hasReading ? 0 : 0.02 * idleMs);
			t.ok(await log.record(['a']));
			const row = env.inner
				.list(tables.owner)
				.find(({value}) => value.startsWith('{"a":'));
			const {a} = JSON.parse(row!.value) as {a: number};
			t.ok(a >= storeMs, `${a} is not before ${storeMs}`);
			t.ok(a <= at + 500 + suspendedMs + maxLateMs, 'nor much later');
		},
	);
}

tap.t.test(
	'a replaced holder records nothing and loses the shard',
	async (t) => {
		const env = await createTestEnvironment();
		const first = await env.open();
		await env.open();
		t.notOk(await first.log.record(['a']));
		t.same(first.lost, ['lost']);
	},
);

tap.t.test(
	'no command may be sent without an answer of the store',
	async (t) => {
		const env = await createTestEnvironment();
		const {log} = await env.open();
		env.inner.setFault(() => 'lost-after');
		t.notOk(await log.record(['a']));
		t.notOk(await log.load());
	},
);

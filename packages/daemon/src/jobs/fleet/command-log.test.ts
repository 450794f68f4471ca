import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {fleetShard, singleKeys, tables} from '../rows/tables.js';
import {createCommandLog} from './command-log.js';

const turnoverMs = 3000;

/** A store whose clock and that of the books are moved by the test. */
const createWorld = async () => {
	const clock = {at: 10_000};
	const inner = ports.createMemoryRowStore();
	const withClock = <Value extends {nowMs: number}, Failure>(
		result:
			| {readonly ok: true; readonly value: Value}
			| {readonly ok: false; readonly error: Failure},
	) =>
		result.ok
			? {ok: true as const, value: {...result.value, nowMs: clock.at + 500}}
			: result;
	const store: ports.RowStore = {
		...inner,
		transact: async (...args) => withClock(await inner.transact(...args)),
		read: async (...args) => withClock(await inner.read(...args)),
	};
	const lease = {table: tables.lease, part: fleetShard, key: singleKeys.lease};
	const takeLease = async () => {
		const result = await inner.transact(
			{checks: [], puts: [{...lease, value: '{}'}], removes: []},
			100,
		);
		return result.ok ? result.value.version : 0;
	};

	const open = async () => {
		const lost: string[] = [];
		const book = createCommandLog({
			store,
			held: {
				shard: fleetShard,
				token: 1,
				version: await takeLease(),
				previous: 'silent',
				previousHolder: undefined,
			},
			now: () => clock.at,
			turnoverMs,
			logger: {warn: () => undefined as never},
			onLost() {
				lost.push('lost');
			},
		});
		await book.load();
		return {book, lost};
	};

	return {clock, inner, open};
};

tap.t.test(
	'a machine ordered by the holder before is left alone for a time',
	async (t) => {
		const world = await createWorld();
		const first = await world.open();
		t.ok(await first.book.record(['a']));
		t.ok(first.book.mayCommand('a'), 'the holder itself may go on');
		world.clock.at += 1000;
		const second = await world.open();
		t.notOk(second.book.mayCommand('a'));
		t.ok(second.book.mayCommand('b'));
		world.clock.at += turnoverMs - 1000;
		t.notOk(second.book.mayCommand('a'), 'the order may have been under way');
		world.clock.at += 500;
		t.ok(second.book.mayCommand('a'));
	},
);

tap.t.test(
	'a holder that was replaced notes nothing, and learns it',
	async (t) => {
		const world = await createWorld();
		const first = await world.open();
		await world.open();
		t.notOk(await first.book.record(['a']));
		t.same(first.lost, ['lost']);
	},
);

tap.t.test(
	'without an answer of the store nothing may be ordered',
	async (t) => {
		const world = await createWorld();
		const {book} = await world.open();
		world.inner.setFault(() => 'lost-after');
		t.notOk(await book.record(['a']));
		t.notOk(await book.load());
	},
);

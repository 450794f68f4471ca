/**
 * Guards against heartbeats that the store carries out late: one of an earlier
 * incarnation would show that a live daemon was replaced.
 */
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {noLogger} from '../job-daemon.test.fixture.js';
import {tables} from '../rows/tables.js';
import {createHeartbeat} from './heartbeat.js';

/** A store that holds writes back, without an answer, while it is told to. */
const createLateStore = () => {
	const store = ports.createMemoryRowStore();
	const held: ports.RowTransaction[] = [];
	const state = {isHolding: false};
	return {
		state,
		store: {
			...store,
			async transact(transaction, timeoutMs) {
				if (!state.isHolding) {
					return store.transact(transaction, timeoutMs);
				}

				held.push(transaction);
				return {ok: false, error: {kind: 'timeout'}};
			},
		} satisfies ports.RowStore,
		async applyHeld() {
			for (const transaction of held.splice(0)) {
				await store.transact(transaction, 100);
			}
		},
		readIncarnation() {
			const [row] = store.list(tables.daemon);
			return (
				row && (JSON.parse(row.value) as {incarnation: string}).incarnation
			);
		},
	};
};

const createTestHeartbeat = (store: ports.RowStore, incarnation: string) =>
	createHeartbeat({
		store,
		name: 'd',
		incarnation,
		getAddress: () => 'a',
		capacity: undefined,
		logger: noLogger,
		clock: {now: () => 0, epochNow: () => 0},
		random: () => 0.5,
		isNeeded: () => true,
	});

/** Heartbeats of the earlier incarnation before the one that is held back. */
const earlierBeats = [0, 1, 3] as const;

for (const count of earlierBeats) {
	tap.t.test(
		`a late heartbeat of an earlier incarnation, after ${count} others`,
		async (t) => {
			const late = createLateStore();
			const earlier = createTestHeartbeat(late.store, 'earlier');
			for (let beat = 0; beat < count; beat++) {
				t.ok(await earlier.writeNow());
			}

			late.state.isHolding = true;
			t.notOk(await earlier.writeNow());
			late.state.isHolding = false;
			const later = createTestHeartbeat(late.store, 'later');
			t.ok(await later.writeNow());
			await late.applyHeld();
			t.equal(late.readIncarnation(), 'later');
			t.ok(await later.writeNow());
		},
	);
}

tap.t.test('a late heartbeat of its own delays no other', async (t) => {
	const late = createLateStore();
	const heartbeat = createTestHeartbeat(late.store, 'i');
	t.ok(await heartbeat.writeNow());
	late.state.isHolding = true;
	t.notOk(await heartbeat.writeNow());
	late.state.isHolding = false;
	await late.applyHeld();
	t.ok(await heartbeat.writeNow());
});

tap.t.test('a new incarnation writes over the row of another', async (t) => {
	const {store, readIncarnation} = createLateStore();
	t.ok(await createTestHeartbeat(store, 'earlier').writeNow());
	t.ok(await createTestHeartbeat(store, 'later').writeNow());
	t.equal(readIncarnation(), 'later');
});

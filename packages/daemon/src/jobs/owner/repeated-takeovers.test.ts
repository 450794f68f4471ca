/**
 * Entries were restarted one after another, so that a service changed hands
 * every 0.5 to 3 s. Two executors of its roster had gone and never answered.
 * Each owner waited 5.2 s anew for what earlier ones may have granted there,
 * and was gone before: from 17.4 to 28 s none of 2,530 tasks that waited was
 * started, with room on ten executors, and 71% of the requests of the day were
 * refused or failed.
 *
 *     25.765 service taken over: fencingToken 7, open 426, unresolvedExecutors 15
 *     27.619 owner load: usable 10, unlisted 2, unresolvedExecutors 2,
 *            tasksOfUnknownPlace 2530, waitingTasks 2530, starts 0
 *
 * What was granted ends by itself, whoever owns the service meanwhile.
 */
import {scheduler, succeed} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createListedExecutor,
	heldShard,
	noLogger,
} from '../job-daemon.test.fixture.js';
import {getLeaseKey} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {createFlusher} from './flusher.js';
import {getInheritedGrantMs, loadOwner} from './load-owner.js';

const cfg = scheduler.defaultSchedulerConfig;

/** A store whose clock is the one of the test. */
const createClockedStore = (now: () => number): ports.RowStore => {
	const inner = ports.createMemoryRowStore();
	return {
		...inner,
		async transact(...args) {
			const result = await inner.transact(...args);
			return result.ok ? succeed({...result.value, nowMs: now()}) : result;
		},
		async read(...args) {
			const page = await inner.read(...args);
			return page.ok ? succeed({...page.value, nowMs: now()}) : page;
		},
	};
};

/** The service of one executor that granted something and is dark since. */
const createWorld = () => {
	const state = {now: 0, token: 0};
	const now = () => state.now;
	const clock = {now, epochNow: now};
	const store = createClockedStore(now);

	const takeOver = async (): Promise<HeldShard> => {
		state.token += 1;
		const put = {...getLeaseKey(heldShard.shard), value: String(state.token)};
		const taken = await store.transact(
			{checks: [], puts: [put], removes: []},
			1000,
		);
		return {
			...heldShard,
			token: state.token,
			version: taken.ok ? taken.value.version : 0,
			previous: state.token === 1 ? 'none' : 'released',
		};
	};

	/** One ownership, from the takeover to the last flush. */
	const own = async (prepare: (owner: scheduler.Owner) => void) => {
		const held = await takeOver();
		const loaded = await loadOwner('s', held, {
			store,
			cfg,
			clock,
			logger: noLogger,
		});
		if (!loaded.ok) {
			throw new Error('rows are not read');
		}

		const {owner, flushVersion, storeTime} = loaded.value;
		prepare(owner);
		// An owner that finds another executor stores its roster.
		scheduler.listExecutor(owner, createListedExecutor(`new-${held.token}`));
		const flusher = createFlusher({
			store,
			owner,
			held,
			flushVersion,
			storeTime,
			clock,
			logger: noLogger,
			onAckable: () => undefined,
			onStored: () => undefined,
			onOwnershipLost: () => undefined,
		});
		await flusher.drain();
		return owner;
	};

	return {state, own, takeOver};
};

/** Milliseconds between two takeovers. */
const intervals = [500, 1500, 3000];

tap.t.test('what was granted ends whoever owns the service', async (t) => {
	for (const intervalMs of intervals) {
		const {state, own} = createWorld();
		await own((owner) => {
			scheduler.listExecutor(owner, createListedExecutor('dark'));
			const job = scheduler.addJob(
				owner,
				createAcceptedJob(createId(1)),
				false,
			);
			owner.dirty.add(job);
		});
		// Nobody reaches it any more; what it was granted is over by then, with a
		// second to spare.
		const overAt = getInheritedGrantMs({previous: 'released'}, cfg) + 1000;
		let isWaitedFor = true;
		while (state.now <= overAt) {
			state.now += intervalMs;
			const owner = await own(({executors}) => {
				t.ok(executors.has('dark'));
			});
			scheduler.expireLeases(owner, state.now);
			isWaitedFor = owner.unresolved.has('dark');
		}

		t.notOk(isWaitedFor, `an owner each ${intervalMs} ms`);
	}
});

tap.t.test('a mark counts only as the word of the last owner', async (t) => {
	for (const strangers of [0, 1]) {
		const {state, own, takeOver} = createWorld();
		await own((owner) => {
			scheduler.listExecutor(owner, createListedExecutor('dark'));
		});
		await own(() => undefined);
		state.now += getInheritedGrantMs({previous: 'released'}, cfg) + 1;
		// Of a release that knows no marks; it may have granted something since.
		for (let count = 0; count < strangers; count++) {
			await takeOver();
		}

		const owner = await own(() => undefined);
		scheduler.expireLeases(owner, state.now);
		t.equal(owner.unresolved.has('dark'), strangers > 0);
	}
});

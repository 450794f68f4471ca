import {scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createJobSpec,
	noLogger,
	noRowFaults,
	now,
} from '../job-daemon.test.fixture.js';
import {getServiceShard, tables} from '../rows/tables.js';
import {createLeaseBook} from '../shards/lease-book.js';
import {createSubmissions, isSameJob} from './submissions.js';

const job = createAcceptedJob('0');

const [step] = job.spec.steps;

/** The same fields in another order, and those without a value left out. */
const reorder = (fields: object): object =>
	Object.fromEntries(
		Object.entries(fields)
			.filter(([, value]) => value !== undefined)
			.toReversed(),
	);

const cases = [
	['itself', job, true],
	['handed in later', {...job, acceptedAtEpochMs: 99}, true],
	[
		'with its fields in another order',
		{
			...job,
			spec: {
				...(reorder(job.spec) as typeof job.spec),
				steps: [reorder(step!) as typeof step],
			},
		},
		true,
	],
	[
		'under a changed policy',
		{...job, policy: {...job.policy, priority: 1}},
		true,
	],
	['in another queue', {...job, policy: {...job.policy, queue: 'r'}}, false],
	['with another payload', {...job, spec: {...job.spec, payload: 'x'}}, false],
	[
		'with another count',
		{...job, spec: {...job.spec, steps: [{...step!, count: 2}]}},
		false,
	],
] as const;

for (const [name, other, isSame] of cases) {
	tap.t.test(`a job and one ${name}`, async (t) => {
		t.equal(isSameJob(job, other as typeof job), isSame);
	});
}

/** Submissions over a store that answers. */
const openSubmissions = (store: ports.RowStore) =>
	createSubmissions({
		store,
		book: createLeaseBook({
			logger: noLogger,
			rowFaults: noRowFaults,
			onChange: () => undefined,
		}),
		isStoreUnresponsive: () => false,
		now,
		logger: noLogger,
		onStored: () => undefined,
	});

/** Entries of one transaction, checks too; origin: the store's interface. */
const mostEntries = 100;

tap.t.test('a commit holds no more than the store takes', async (t) => {
	const store = ports.createMemoryRowStore();
	const sizes: number[] = [];
	const submissions = openSubmissions({
		...store,
		async transact(transaction, timeoutMs) {
			const {checks, puts, removes} = transaction;
			sizes.push(checks.length + puts.length + removes.length);
			return store.transact(transaction, timeoutMs);
		},
	});
	const outcomes = await Promise.all(
		Array.from({length: 120}, async (_, index) =>
			submissions.submit(
				'service/s',
				{...job, id: String(index)},
				now() + 3000,
			),
		),
	);
	t.ok(outcomes.every(({kind}) => kind === 'accepted'));
	t.ok(
		sizes.every((size) => size <= mostEntries),
		sizes.join(', '),
	);
});

/**
 * A job whose queue is not told has no owner that is known after the queue
 * moved: it is answered as if it did not exist.
 */
tap.t.test('no job is stored before its queue is told', async (t) => {
	const store = ports.createMemoryRowStore();
	const submissions = openSubmissions(store);
	const queues = Array.from({length: 40}, (_, index) => `queue-${index}`);
	await Promise.all(
		queues.map(async (queue, index) =>
			submissions.submit(
				'service/s',
				{...job, id: String(index), policy: {...job.policy, queue}},
				now() + 3000,
			),
		),
	);
	t.equal(store.list('job').length, queues.length);
	const told = store.list('queue-history').map(({key}) => key);
	t.same(told.toSorted(), queues.toSorted());
});

/**
 * Bytes that a link of 7 Mbit/s carries while a commit is waited for, 800 ms.
 * Values are sent in base64.
 */
const mostBytes = 700_000;

tap.t.test('a commit arrives in time over a thin link', async (t) => {
	const store = ports.createMemoryRowStore();
	const sizes: number[] = [];
	const submissions = openSubmissions({
		...store,
		async transact(transaction, timeoutMs) {
			const bytes = transaction.puts.reduce(
				(sum, {value}) => sum + Math.ceil((value.length * 4) / 3),
				0,
			);
			sizes.push(bytes);
			return bytes > mostBytes
				? {ok: false, error: {kind: 'timeout'}}
				: store.transact(transaction, timeoutMs);
		},
	});
	// As many steps, and as much text, as a job may have.
	const spec = createJobSpec();
	const {maxSteps, maxPayloadBytes} = scheduler.jobLimits;
	const large = {
		...spec,
		payload: 'x'.repeat(maxPayloadBytes),
		steps: Array.from({length: maxSteps}, () => spec.steps).flat(),
	};
	const outcomes = await Promise.all(
		Array.from({length: 120}, async (_, index) =>
			submissions.submit(
				'service/s',
				createAcceptedJob(String(index), large),
				now() + 3000,
			),
		),
	);
	t.ok(outcomes.every(({kind}) => kind === 'accepted'));
	t.ok(
		sizes.every((size) => size <= mostBytes),
		sizes.join(', '),
	);
});

const shard = getServiceShard('s');

/** Later than any of these cases takes, in milliseconds. */
const farAway = 60_000;

const createWorld = () => {
	const inner = ports.createMemoryRowStore();
	/** Ids of the jobs in each transaction that was sent. */
	const sent: string[][] = [];
	let beforeNext: () => Promise<void> | void = () => undefined;
	const world = {
		sent,
		state: {now: 0},
		/** Runs while each transaction is under way. */
		onTransact(action: typeof beforeNext) {
			beforeNext = action;
		},
		/** Another entry stores a job. */
		async storeElsewhere(id: string) {
			await inner.transact(
				{
					checks: [],
					puts: [
						{
							table: tables.job,
							part: shard,
							key: id,
							value: JSON.stringify({...job, id}),
						},
					],
					removes: [],
				},
				farAway,
			);
		},
	};
	const submissions = createSubmissions({
		store: {
			...inner,
			async transact(transaction, timeoutMs) {
				const jobs = transaction.puts.filter(({table}) => table === tables.job);
				sent.push(jobs.map(({key}) => key));
				await beforeNext();
				return inner.transact(transaction, timeoutMs);
			},
		},
		book: createLeaseBook({
			logger: noLogger,
			rowFaults: noRowFaults,
			onChange: () => undefined,
		}),
		isStoreUnresponsive: () => false,
		now: () => world.state.now,
		logger: noLogger,
		onStored: () => undefined,
	});
	const submitJob = async (each: typeof job, deadline = farAway) =>
		submissions.submit(shard, each, deadline);
	const submit = async (id: string, deadline?: number) =>
		submitJob({...job, id}, deadline);
	return {...world, submit, submitJob};
};

tap.t.test(
	'jobs that come with repeats of others are stored by the next transaction',
	async (t) => {
		const world = createWorld();
		for (const index of [0, 1, 2, 3, 4, 5]) {
			await world.storeElsewhere(`r${index}`);
		}

		// One repeat more comes in while each transaction is under way.
		const repeats = ['r1', 'r2', 'r3', 'r4', 'r5'];
		const outcomes: Array<Promise<unknown>> = [];
		world.onTransact(() => {
			const next = repeats.shift();
			if (next !== undefined) {
				outcomes.push(world.submit(next));
			}
		});
		const first = world.submit('first');
		const [repeat, fresh] = [world.submit('r0'), world.submit('fresh')];
		t.same(await first, {kind: 'accepted', isRepeat: false});
		t.same(await repeat, {kind: 'accepted', isRepeat: true});
		t.same(await fresh, {kind: 'accepted', isRepeat: false});
		t.equal(
			world.sent.filter((ids) => ids.includes('fresh')).length,
			2,
			'one that failed for the repeat and one more',
		);
		for (const outcome of await Promise.all(outcomes)) {
			t.same(outcome, {kind: 'accepted', isRepeat: true});
		}
	},
);

tap.t.test('many repeats do not get the others refused', async (t) => {
	const world = createWorld();
	const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
	const late = [...ids];
	// Each is stored by another entry just before the transaction with it.
	world.onTransact(async () => {
		const next = late.shift();
		if (next !== undefined) {
			await world.storeElsewhere(next);
		}
	});
	const outcomes = await Promise.all(
		[...ids, 'fresh'].map(async (id) => world.submit(id)),
	);
	t.same(
		outcomes.map(({kind}) => kind),
		Array.from({length: 7}, () => 'accepted'),
	);
});

tap.t.test('a job that was handed in twice is sent once', async (t) => {
	const world = createWorld();
	const first = world.submit('first');
	const twice = [world.submit('a'), world.submit('a')];
	await first;
	t.same(await Promise.all(twice), [
		{kind: 'accepted', isRepeat: false},
		{kind: 'accepted', isRepeat: true},
	]);
	t.same(await world.submit('a'), {kind: 'accepted', isRepeat: true});
	t.same(world.sent, [['first'], ['a']]);
});

tap.t.test('another job under the id of a stored one', async (t) => {
	const world = createWorld();
	await world.submit('a');
	const other = {...job, id: 'a', spec: {...job.spec, payload: 'x'}};
	t.same(await world.submitJob(other), {kind: 'conflict'});
	t.same(world.sent, [['a']]);
});

tap.t.test('a job whose caller has given up is not sent', async (t) => {
	const world = createWorld();
	world.onTransact(() => {
		world.state.now = 1000;
	});
	const [first, late] = [world.submit('first'), world.submit('late', 900)];
	t.same(await first, {kind: 'accepted', isRepeat: false});
	t.same(await late, {kind: 'not-stored'});
	t.same(world.sent, [['first']]);
});

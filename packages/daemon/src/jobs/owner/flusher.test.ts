/** Guards against acknowledging ends whose flush is still under way. */
import {Buffer} from 'node:buffer';
import {fail, scheduler, succeed} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createJobSpec,
	heldShard,
	noLogger,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {getMoment} from '../clock.js';
import {createFlusher} from './flusher.js';

const testClock = {now: () => performance.now(), epochNow: () => Date.now()};

type Answer = Awaited<ReturnType<ports.RowStore['transact']>>;

/** An owner with one end to store, and a store whose answers the test sends. */
const createHarness = () => {
	const owner = {
		dirtyJobs: new Set(),
		isRosterDirty: true,
		flushNumber: 1,
		unresolvedExecutors: new Map(),
		inheritedStarts: new Map(),
		runTimes: scheduler.createRunTimes(),
		executors: new Map([
			[
				'x',
				{
					id: 'x',
					listed: {id: 'x'},
					runs: new Map(),
					rosteredStarts: [],
					acknowledgedUpto: 0,
					unackedEnds: [{number: 1, flushNumber: 1}],
				},
			],
		]),
	} as unknown as scheduler.Owner;
	const pending: Array<(answer: Answer) => void> = [];
	const acknowledged: string[] = [];
	const flusher = createFlusher({
		store: {
			...ports.createMemoryRowStore(),
			transact: async () =>
				new Promise((resolve) => {
					pending.push(resolve);
				}),
		},
		owner,
		held: heldShard,
		flushVersion: 0,
		clock: testClock,
		storeTime: {nowMs: 0, sent: getMoment(testClock)},
		rosterKeys: [],
		logger: noLogger,
		onAckable(executors) {
			acknowledged.push(...executors.map(({id}) => id));
		},
		onStored: () => undefined,
		onOwnershipLost: () => undefined,
	});
	return {owner, pending, acknowledged, flusher};
};

const nextTurn = async () =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

tap.t.test(
	'a flush requested during the final flush acknowledges nothing',
	async (t) => {
		const {pending, acknowledged, flusher} = createHarness();
		const drained = flusher.drain();
		await nextTurn();
		t.equal(pending.length, 1);
		flusher.requestFlush();
		t.same(acknowledged, []);
		pending[0]!(succeed({version: 2, nowMs: 0}));
		await drained;
		t.same(acknowledged, ['x']);
	},
);

tap.t.test('no flush runs concurrently with the final one', async (t) => {
	const {owner, pending, flusher} = createHarness();
	flusher.requestFlush();
	await nextTurn();
	const drained = flusher.drain();
	owner.isRosterDirty = true;
	pending[0]!(succeed({version: 2, nowMs: 0}));
	await nextTurn();
	await nextTurn();
	t.equal(pending.length, 2);
	owner.isRosterDirty = true;
	flusher.requestFlush();
	await nextTurn();
	t.equal(pending.length, 2);
	pending[1]!(succeed({version: 3, nowMs: 0}));
	await nextTurn();
	pending[2]?.(succeed({version: 4, nowMs: 0}));
	await drained;
	flusher.stop();
});

/** Largest transaction on the wire; origin: the store's interface. */
const maxTransactionBytes = 1_000_000;

/** Values are sent in base64. */
const getWireBytes = ({puts}: ports.RowTransaction): number =>
	puts.reduce(
		(sum, {value}) => sum + Math.ceil((Buffer.byteLength(value) * 4) / 3),
		0,
	);

/** An oversized flush would be retried unchanged for ever. */
tap.t.test('a flush fits into one transaction of the store', async (t) => {
	const jobs = 90;
	const {steps} = createJobSpec({count: scheduler.jobLimits.maxTasksPerStep});
	const spec = {...createJobSpec(), steps: [...steps, ...steps]};
	const owner = scheduler.createOwner(
		's',
		1,
		scheduler.defaultSchedulerConfig,
		0,
	);
	for (let index = 0; index < jobs; index += 1) {
		const job = scheduler.addJob(
			owner,
			createAcceptedJob(createId(index), spec),
			false,
		);
		scheduler.addOccurrence(job);
		owner.dirtyJobs.add(job);
	}

	const inner = ports.createMemoryRowStore();
	const stored = new Set<string>();
	const flusher = createFlusher({
		store: {
			...inner,
			async transact(transaction) {
				return getWireBytes(transaction) > maxTransactionBytes
					? fail({kind: 'unavailable'})
					: succeed({version: 1, nowMs: 0});
			},
		},
		owner,
		held: heldShard,
		flushVersion: 0,
		clock: testClock,
		storeTime: {nowMs: 0, sent: getMoment(testClock)},
		rosterKeys: [],
		logger: noLogger,
		onAckable: () => undefined,
		onStored(flush) {
			for (const {job} of flush.jobs) {
				stored.add(job.accepted.id);
			}
		},
		onOwnershipLost: () => undefined,
	});
	t.teardown(flusher.stop);
	flusher.requestFlush();
	await waitUntil('all progress is stored', () => stored.size === jobs, 5000);
	t.equal(stored.size, jobs);
});

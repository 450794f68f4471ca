/** Guards against rejected jobs that are stored, and against early rejections. */
import {scheduler} from '@gullstand/core';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createJobSpec,
	createListedExecutor,
	heldShard,
	noLogger,
} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import {tables} from '../rows/tables.js';
import {createAdmissionGate} from './admission-gate.js';

const {shard} = heldShard;

const spec = createJobSpec({
	estimateMs: 20_000,
	resources: {cpuMillis: 4000, memoryMb: 10, accelerators: 0},
});

const startAt = 10_000;

/** An owner of one executor and of a team that has used up its rate. */
const createFullOwner = () => {
	const owner = scheduler.createOwner(
		's',
		1,
		scheduler.defaultSchedulerConfig,
		0,
	);
	const executor = createListedExecutor('x');
	scheduler.recordListedExecutor(owner, executor);
	for (const each of owner.executors.values()) {
		Object.assign(each, {isAdopted: true, isRostered: true});
		each.used = executor.capacity;
	}

	owner.teamWeights.set('flood', 0.1);
	for (let index = 0; index < 4; index++) {
		const job = {...createAcceptedJob(`${index}`, spec), team: 'flood'};
		scheduler.addJob(
			owner,
			{...job, acceptedAtEpochMs: startAt},
			false,
			startAt,
		);
	}

	scheduler.advanceSchedules(owner, startAt);
	return owner;
};

const createHarness = (owner: scheduler.Owner | undefined) => {
	const store = ports.createMemoryRowStore();
	const state = {
		now: startAt,
		reads: 0,
		isUnderWay: false,
		unansweredAt: Number.NEGATIVE_INFINITY,
		duringRead: () => undefined as void,
	};
	const gate = createAdmissionGate({
		shard,
		store: {
			async read(...args) {
				state.reads += 1;
				const page = await store.read(...args);
				state.duringRead();
				return page;
			},
		},
		commits: {
			mayBeStoring: () => state.isUnderWay,
			getUnansweredAt: () => state.unansweredAt,
		},
		clock: {now: () => state.now, epochNow: () => state.now},
		logger: noLogger,
		metrics: createJobMetrics(),
		listExecutors: () => [createListedExecutor('x')],
		getOwner: () => owner,
	});
	const admit = async (id = 'new') =>
		gate.admit({...createAcceptedJob(id, spec), team: 'flood'});
	return {store, state, admit};
};

type Harness = ReturnType<typeof createHarness>;

const cases: ReadonlyArray<{
	readonly name: string;
	readonly change?: (
		harness: Harness,
		owner: scheduler.Owner,
	) => Promise<unknown> | void;
	readonly isOff?: boolean;
	readonly isRejected?: boolean;
	readonly reads: number;
}> = [
	{name: 'that is not stored', isRejected: true, reads: 1},
	{name: 'while this part is off', isOff: true, reads: 0},
	{
		name: 'whose read fails',
		change({store}) {
			store.setFault(() => 'lost-before');
		},
		reads: 1,
	},
	{
		name: 'that the store has',
		change: async ({store}) =>
			store.transact(
				{
					checks: [],
					puts: [{table: tables.job, part: shard, key: 'new', value: '{}'}],
					removes: [],
				},
				100,
			),
		reads: 1,
	},
	{
		name: 'that the owner knows',
		change(_, owner) {
			scheduler.addJob(owner, createAcceptedJob('new'), false, startAt);
		},
		reads: 0,
	},
	{
		name: 'whose commit is under way',
		change({state}) {
			state.isUnderWay = true;
		},
		reads: 0,
	},
	{
		name: 'whose commit begins during the read',
		change({state}) {
			state.duringRead = () => {
				state.isUnderWay = true;
			};
		},
		reads: 1,
	},
	{
		name: 'after a commit without an answer',
		change({state}) {
			state.unansweredAt = startAt - 5900;
		},
		reads: 0,
	},
	{
		name: 'long after a commit without an answer',
		change({state}) {
			state.unansweredAt = startAt - 6000;
		},
		isRejected: true,
		reads: 1,
	},
	{
		name: 'of an owner that just took over',
		change(_, owner) {
			Object.assign(owner, {takenOverAt: startAt - 1900});
		},
		reads: 0,
	},
];

for (const {name, change, isOff, isRejected = false, reads} of cases) {
	tap.t.test(`a job ${name}`, async (t) => {
		const owner = createFullOwner();
		const harness = createHarness(isOff ? undefined : owner);
		await change?.(harness, owner);
		const rejection = await harness.admit();
		t.equal(rejection?.reason, isRejected ? 'beyond-rate' : undefined);
		t.equal(harness.state.reads, reads);
		const tokens = owner.teamRates.get('flood')?.tokens;
		t.equal(tokens, 0, 'no decision charges the rate');
	});
}

tap.t.test('rejected callers return to their places', async (t) => {
	const owner = createFullOwner();
	const {state, admit} = createHarness(owner);
	const first = await admit('first');
	const second = await admit('second');
	t.ok((first?.retryAfterMs ?? 0) <= (second?.retryAfterMs ?? 0));
	state.now += 1000;
	t.ok(await admit('first'), 'too soon');
	state.now = startAt + 10_000;
	t.equal(await admit('first'), undefined);
	const job = {...createAcceptedJob('first', spec), team: 'flood'};
	scheduler.addJob(owner, job, false, state.now);
	state.now += 100;
	t.ok(await admit('second'), 'the next token is not there yet');
});

/**
 * Guards against a job that the store never takes being answered as if the
 * store were away, and other jobs of its transaction with it.
 */
import type {RowStoreError, RowTransaction} from '@gullstand/ports';
import * as ports from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createJobSpec,
	noLogger,
	noRowFaults,
	now,
	route,
	testConfiguration,
} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import {getServiceShard, tables} from '../rows/tables.js';
import {createLeaseCache} from '../shards/lease-cache.js';
import {createJobService} from './job-service.js';
import {createGatekeeper} from './gatekeeper.js';
import {createQueueGates} from './queue-gates.js';
import {createQueueHistory} from './queue-history.js';
import {createRoutes} from './routes.js';
import {createSubmissions, type SubmitOutcome} from './submissions.js';

const shard = getServiceShard('s');

const openSubmissions = (store: ports.RowStore) =>
	createSubmissions({
		store,
		gatekeeper: createGatekeeper({
			gates: createQueueGates({
				store,
				listRecorded: createQueueHistory({store, now, logger: noLogger})
					.listRecorded,
				now,
				logger: noLogger,
			}),
			store,
			now,
		}),
		book: createLeaseCache({
			logger: noLogger,
			now,
			rowFaults: noRowFaults,
			onChange: () => undefined,
		}),
		isStoreUnresponsive: () => false,
		now,
		logger: noLogger,
		onStored: () => undefined,
	});

/** A job whose row is larger than the store takes. */
const largeSpec = createJobSpec({requiredLabel: 'x'.repeat(70_000)});

const listJobs = ({puts}: RowTransaction): readonly string[] =>
	puts.filter(({table}) => table === tables.job).map(({key}) => key);

type Refusal = {
	/** Ids of the jobs whose row the store refuses. */
	readonly refused: readonly string[];
	/** Ids of the jobs whose row is too large. */
	readonly large?: readonly string[];
	/** Ids of the jobs that are stored already. */
	readonly stored?: readonly string[];
	readonly isUnreadable?: boolean;
};

/** A store that refuses each transaction with one of the jobs. */
const createRefusingStore = async (refusal: Refusal) => {
	const inner = ports.createMemoryRowStore();
	let sent = 0;
	for (const id of refusal.stored ?? []) {
		await inner.transact(
			{
				checks: [],
				puts: [
					{
						table: tables.job,
						part: shard,
						key: id,
						value: JSON.stringify(createAcceptedJob(id)),
					},
				],
				removes: [],
			},
			1000,
		);
	}

	inner.setFault((call, transaction) => {
		if (call === 'read') {
			// The gate of the queue is read before any job is sent.
			return refusal.isUnreadable && sent > 0 ? 'unavailable' : undefined;
		}

		const jobs = transaction ? listJobs(transaction) : [];
		sent += jobs.length > 0 ? 1 : 0;
		return jobs.some((id) => refusal.refused.includes(id))
			? 'rejected'
			: undefined;
	});
	return {store: inner, countSent: () => sent};
};

const ids = Array.from({length: 40}, (_, index) => `job-${index}`);

/** What each job gets that no case names. */
const accepted = 'accepted';

const cases: ReadonlyArray<
	Refusal & {
		readonly name: string;
		/** Outcomes that are not `accepted`, by job. */
		readonly outcomes: Readonly<Record<string, SubmitOutcome['kind']>>;
	}
> = [
	{name: 'none', refused: [], outcomes: {}},
	{name: 'one', refused: ['job-7'], outcomes: {'job-7': 'not-storable'}},
	{
		name: 'several',
		refused: ['job-0', 'job-7', 'job-39'],
		outcomes: {
			'job-0': 'not-storable',
			'job-7': 'not-storable',
			'job-39': 'not-storable',
		},
	},
	{
		name: 'one, of an id that is stored',
		refused: ['job-7'],
		stored: ['job-7'],
		outcomes: {},
	},
	{
		name: 'one that cannot be read back',
		refused: ['job-7'],
		isUnreadable: true,
		outcomes: {'job-7': 'unknown'},
	},
	{
		name: 'one that is larger than a row may be',
		refused: [],
		large: ['job-7'],
		outcomes: {'job-7': 'not-storable'},
	},
];

for (const {name, outcomes, ...refusal} of cases) {
	tap.t.test(`jobs of which the store refuses for good: ${name}`, async (t) => {
		const {store} = await createRefusingStore(refusal);
		const submissions = openSubmissions(store);
		const found = await Promise.all(
			ids.map(async (id) => {
				const spec = refusal.large?.includes(id) ? largeSpec : undefined;
				const job = createAcceptedJob(id, spec);
				return submissions.submit(shard, job, now() + 5000, 1);
			}),
		);
		t.same(
			Object.fromEntries(ids.map((id, index) => [id, found[index]?.kind])),
			{
				...Object.fromEntries(ids.map((id) => [id, accepted])),
				...outcomes,
			},
		);
	});
}

tap.t.test('a refused job costs its batch few transactions', async (t) => {
	const {store, countSent} = await createRefusingStore({refused: ['job-7']});
	const submissions = openSubmissions(store);
	await Promise.all(
		ids.map(async (id) =>
			submissions.submit(shard, createAcceptedJob(id), now() + 5000, 1),
		),
	);
	// The first job goes alone, the others together, then halves of those.
	t.equal(countSent(), 2 + 2 * 6);
});

type Answer = ports.RowStoreError;

const rejected: Answer = {kind: 'rejected', status: 413};

/** A service whose owner and store answer as given. */
const createService = (
	first: SubmitOutcome | 'no-owner',
	second: SubmitOutcome,
	error: RowStoreError = rejected,
) => {
	const routes = createRoutes();
	routes.apply(testConfiguration);
	const tried: string[] = [];
	const inner = ports.createMemoryRowStore();
	const service = createJobService({
		routes,
		history: {
			listServices: () => ['s'],
			load: async () => true,
			refresh: async () => true,
		},
		submissions: {
			async submit() {
				tried.push('store');
				return second;
			},
		},
		owners: {
			sendRows: async () => true,
			readJob: async () => ({kind: 'not-owner'}),
			countPending: async () => 0,
			evacuate: async () => undefined,
			releaseEvacuation: async () => undefined,
			async submit() {
				tried.push('owner');
				return first;
			},
			readLoad: async () => undefined,
		},
		tombstones: {put: async () => ({kind: 'buried'})},
		access: {verify: (caller) => ({ok: true, value: caller})},
		store: {
			...inner,
			async transact(transaction, timeoutMs) {
				tried.push('cancellation');
				return transaction.puts.some(({key}) => key.includes('cancelled'))
					? {ok: false, error}
					: inner.transact(transaction, timeoutMs);
			},
		},
		clock: {now, epochNow: () => Date.now()},
		logger: noLogger,
		metrics: createJobMetrics(),
		async submitThroughPeer() {
			tried.push('peer');
			return undefined;
		},
		async cancelThroughPeer() {
			tried.push('peer');
			return 'store-unavailable';
		},
	});
	return {service, tried, inner};
};

const ways: ReadonlyArray<{
	readonly name: string;
	readonly first: SubmitOutcome | 'no-owner';
	readonly second: SubmitOutcome;
	readonly error: string;
	readonly tried: readonly string[];
}> = [
	{
		name: 'by the owner',
		first: {kind: 'not-storable'},
		second: {kind: 'not-stored'},
		error: 'not-storable',
		tried: ['owner'],
	},
	{
		name: 'without an owner',
		first: 'no-owner',
		second: {kind: 'not-storable'},
		error: 'not-storable',
		tried: ['owner', 'store'],
	},
	{
		name: 'after an owner that did not answer: it may have stored the job',
		first: {kind: 'unknown'},
		second: {kind: 'not-storable'},
		error: 'submission-unknown',
		tried: ['owner', 'store'],
	},
];

for (const {name, first, second, error, tried} of ways) {
	tap.t.test(`a job that cannot be stored is refused ${name}`, async (t) => {
		const {service, tried: found} = createService(first, second);
		const job = {id: createId(1), spec: createJobSpec()};
		const result = await service.submit(route, job, now() + 3000);
		t.same(result, {ok: false, error});
		t.same(found, tried);
	});
}

tap.t.test('a cancellation that the store refuses ends at once', async (t) => {
	const {service, tried, inner} = createService('no-owner', {
		kind: 'not-stored',
	});
	const id = createId(1);
	await inner.transact(
		{
			checks: [],
			puts: [
				{
					table: tables.job,
					part: shard,
					key: id,
					value: JSON.stringify(createAcceptedJob(id)),
				},
			],
			removes: [],
		},
		1000,
	);
	const result = await service.cancel(route, id, now() + 200);
	t.same(result, {ok: false, error: 'not-storable'});
	t.same(tried, ['cancellation']);
});

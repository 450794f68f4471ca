import {createMemoryRowStore} from '@gullstand/ports';
import * as tap from 'tap';
import {createSpec, now} from '../job-world.test.fixture.js';
import {createLeaseBook} from '../shards/lease-book.js';
import {createSubmissions, isSameJob} from './submissions.js';

const policy = {
	queue: 'q',
	priority: 0,
	maxAttempts: 2,
	stretch: 2,
	targetLatencyMs: 600,
	needsAdvice: false,
};

const job = {id: '0', policy, spec: createSpec(), acceptedAtEpochMs: 1};

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
	['under a changed policy', {...job, policy: {...policy, priority: 1}}, true],
	['in another queue', {...job, policy: {...policy, queue: 'r'}}, false],
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

/** Entries of one transaction, checks too; origin: the store's interface. */
const mostEntries = 100;

const logger = {info: () => undefined as never, warn: () => undefined as never};

tap.t.test('a commit holds no more than the store takes', async (t) => {
	const store = createMemoryRowStore();
	const sizes: number[] = [];
	const submissions = createSubmissions({
		store: {
			...store,
			async transact(transaction, timeoutMs) {
				const {checks, puts, removes} = transaction;
				sizes.push(checks.length + puts.length + removes.length);
				return store.transact(transaction, timeoutMs);
			},
		},
		book: createLeaseBook({logger, onChange: () => undefined}),
		isStoreSuspect: () => false,
		now,
		logger,
		onStored: () => undefined,
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

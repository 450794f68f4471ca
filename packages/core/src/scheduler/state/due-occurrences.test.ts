/** Guards against an owner that loads more of a schedule than it can hold. */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	flushAll,
	pollExecutor,
} from '../owner.test.fixture.js';

const {maxOccurrences, maxTasks, maxServiceTasks} = scheduler.loadLimits;

type LoadCase = {
	readonly name: string;
	/** Tasks of an occurrence of each job. */
	readonly jobs: readonly number[];
	/** Occurrences that are loaded at once. */
	readonly loaded: readonly number[];
};

const loadCases: readonly LoadCase[] = [
	{name: 'small ones', jobs: [4], loaded: [maxOccurrences]},
	{name: 'wide ones', jobs: [1000], loaded: [maxTasks / 1000]},
	{name: 'the widest two', jobs: [10_000], loaded: [2]},
	{
		name: 'one of each job at least',
		jobs: [1000, 1000, 1000, 1000, 1000],
		loaded: [20, 20, maxServiceTasks / 1000 - 40, 1, 1],
	},
];

for (const {name, jobs, loaded} of loadCases) {
	tap.t.test(`of 100,000 due occurrences are loaded ${name}`, async (t) => {
		const owner = createTestOwner([]);
		const schedule = {times: 100_000, startAtEpochMs: 0, intervalMs: 1};
		const added = jobs.map((count, index) =>
			scheduler.addJob(
				owner,
				createAccepted(`a${index}`, [{count}], {schedule}),
				false,
			),
		);
		for (let plan = 0; plan < 3; plan++) {
			scheduler.advanceSchedules(owner, 1e9);
			t.same(
				added.map(({occurrences}) => occurrences.size),
				loaded,
			);
		}
	});
}

tap.t.test(
	'a job completes once all occurrences are done, in order',
	async (t) => {
		const times = 3 * maxOccurrences + 7;
		const owner = createTestOwner([createListed('x')]);
		const job = scheduler.addJob(
			owner,
			createAccepted('a', [{}], {
				schedule: {times, startAtEpochMs: 0, intervalMs: 1},
			}),
			false,
		);
		const seen: number[] = [];
		while (!job.end && seen.length < 2 * times) {
			scheduler.advanceSchedules(owner, 1e9);
			const numbers = [...job.occurrences.keys()];
			t.ok(numbers.length > 0 && numbers.length <= maxOccurrences);
			const ends = numbers.map((number, index) => ({
				number: seen.length + index + 1,
				taskId: `a.${number}.0.0`,
				run: 1,
			}));
			pollExecutor(owner, 'x', {at: seen.length + 1, ends});
			seen.push(...numbers);
			flushAll(owner);
		}

		t.equal(job.end, 'completed');
		t.same(
			seen,
			Array.from({length: times}, (_, number) => number),
		);
		t.equal(owner.executors.get('x')!.acknowledgedUpto, times);
	},
);

tap.t.test(
	'a takeover loads what is not done, and no occurrence that is',
	async (t) => {
		const accepted = createAccepted('a', [{count: 3}], {
			schedule: {times: 100_000, startAtEpochMs: 0, intervalMs: 1},
		});
		const job = scheduler.createJob(accepted, true);
		scheduler.applyProgress(
			job,
			{
				doneOccurrences: 90_000,
				nextOccurrence: 90_002,
				occurrences: [
					{number: 7, done: ['100'], tasks: {}},
					{number: 90_001, done: ['000'], tasks: {}},
				],
			},
			0,
		);
		t.same([...job.occurrences.keys()], [7, 90_001]);
		t.equal(job.nextOccurrence, 90_002);
		t.equal(job.remainingWork, (job.totalWork * 5) / 3);
	},
);

const listedOccurrences: ReadonlyArray<
	readonly [name: string, count: number, number: number, loaded: number]
> = [
	['the next one', 1, 0, 1],
	['one that an earlier owner may have started', 1, 900, 901],
	['one far ahead', 1, 99_999, 0],
	['one far ahead of many tasks', 5000, 9, 0],
];

for (const [name, count, number, loaded] of listedOccurrences) {
	tap.t.test(`an executor lists a run of ${name}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		const accepted = createAccepted('a', [{count}], {
			schedule: {times: 100_000, startAtEpochMs: 1e12, intervalMs: 1},
		});
		const job = scheduler.addJob(owner, accepted, true);
		const running = [{taskId: `a.${number}.0.0`, run: 5}];
		pollExecutor(owner, 'x', {at: 1, running});
		t.equal(job.occurrences.size, loaded);
		pollExecutor(owner, 'x', {at: 2, running});
		t.equal(job.occurrences.size, loaded);
	});
}

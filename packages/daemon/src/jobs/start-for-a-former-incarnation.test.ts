/**
 * Guards against a task that runs twice: its start was carried out by the next
 * incarnation of its executor, under a longer lease than the next owner of the
 * service waits for.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import * as tap from 'tap';
import type {JobDaemon} from './job-daemon.js';
import {
	createId,
	createJobSpec,
	createListedExecutor,
	createTestPlatform,
	startDaemon,
	submit,
	waitUntil,
	type TestPlatform,
} from './job-daemon.test.fixture.js';
import {tables} from './rows/tables.js';

const startedAtEpochMs = 1_785_000_000_000;

/** How long the first incarnation has been up. */
const upMs = 1_000_000;

/** Longest lease that executors accept. */
const maxLeaseMs = 5000;

/** Longest time until a call is carried out that has no answer. */
const maxLateMs = 3000;

/** Until a start without an answer has timed out. */
const unansweredMs = 800;

/** Until an owner has polled an executor that answers. */
const pollMs = 300;

type World = {
	readonly cut: () => void;
	readonly takeOver: () => Promise<void>;
};

type Case = {
	readonly name: string;
	/** What happens once the next incarnation has carried the start out. */
	readonly act: (world: World) => Promise<void>;
};

const cases: readonly Case[] = [
	{
		name: 'cut off at once',
		async act({cut, takeOver}) {
			cut();
			await takeOver();
		},
	},
	{
		name: 'cut off after its owner has polled it',
		async act({cut, takeOver}) {
			await delay(pollMs);
			cut();
			await takeOver();
		},
	},
	{
		name: 'cut off after the next owner has polled it',
		async act({cut, takeOver}) {
			await takeOver();
			await delay(pollMs);
			cut();
		},
	},
];

const isHeldBy = ({store}: TestPlatform, name: string): boolean =>
	store
		.list(tables.lease)
		.some(
			({part, value}) =>
				part === 'service/s' && value.includes(`"entry":"${name}"`),
		);

const addExecutor = (
	{executors, executorFeed}: TestPlatform,
	id: string,
): void => {
	const listed = {...createListedExecutor(id), startedAtEpochMs};
	executors.add(listed, upMs);
	executorFeed.put(id, listed);
};

/** Returns what else runs as the task starts elsewhere. */
const play = async (
	t: Pick<typeof tap.t, 'fail' | 'teardown' | 'comment'>,
	{name, act}: Case,
): Promise<ReadonlyArray<{readonly taskId: string}>> => {
	const platform = createTestPlatform([], maxLeaseMs);
	const {executors, executorFeed} = platform;
	const start = async (daemon: string): Promise<JobDaemon> => {
		const started = await startDaemon(
			platform,
			daemon,
			(err) => {
				t.fail(err.message);
			},
			{maxLateMs, maxLeaseMs},
		);
		t.teardown(async () => started.stop());
		return started;
	};

	addExecutor(platform, 'x');
	const owner = await start('one');
	await waitUntil('an owner', () => isHeldBy(platform, 'one'));
	await waitUntil('a poll', () => executors.countPolls() > 0);
	await start('two');
	await delay(pollMs);
	executors.setFault('x', 'held-call');
	await submit(owner, createId(1), createJobSpec({estimateMs: 60_000}));
	await delay(unansweredMs);
	const next = {
		...createListedExecutor('x'),
		startedAtEpochMs: startedAtEpochMs + 1000,
	};
	executors.restart(next);
	executorFeed.put('x', next);
	executors.deliverHeld('x');
	await waitUntil('the first run', () => executors.listStarts().length === 1);
	const startedAt = performance.now();
	addExecutor(platform, 'y');
	let besides: ReturnType<typeof executors.listRunning> | undefined;
	executors.onStart = ({executorId}) => {
		if (executorId === 'y') {
			besides = executors.listRunning('x');
		}
	};

	await act({
		cut() {
			executors.setFault('x', 'silent');
		},
		async takeOver() {
			await owner.stop();
			await waitUntil('a takeover', () => isHeldBy(platform, 'two'));
		},
	});
	await waitUntil('a start elsewhere', () => besides !== undefined);
	const afterMs = Math.round(performance.now() - startedAt);
	t.comment(`${name}: starts again after ${afterMs} ms`);
	return besides ?? [];
};

tap.t.test(
	'a start for a former incarnation outlasts what the next owner waits for',
	async (t) => {
		const results = await Promise.all(cases.map(async (each) => play(t, each)));
		for (const [index, {name}] of cases.entries()) {
			t.same(results[index], [], `${name}: nothing else runs`);
		}
	},
);

/**
 * Guards against taking an executor that starts again under its id for its
 * previous incarnation: its run ends were discarded as known, so that tasks ran
 * twice, and an executor that had terminated was never used again.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import type {JobDaemon} from './job-daemon.js';
import {
	createId,
	createJobSpec,
	createListedExecutor,
	createTestPlatform,
	finishTasksAfter,
	readState,
	route,
	startDaemon,
	submit,
	waitUntil,
	type TestPlatform,
} from './job-daemon.test.fixture.js';

const startedAtEpochMs = 1_785_000_000_000;

/** Time from a restart until the registry lists the new incarnation. */
const listingDelayMs = 300;

/** An executor that is not polled for this long is idle. */
const idleMs = 100;

const createIncarnation = (number: number): scheduler.ListedExecutor => ({
	...createListedExecutor('x'),
	startedAtEpochMs: startedAtEpochMs + number,
});

/** Starts an incarnation of the executor and lists it. */
const startIncarnation = (platform: TestPlatform, number: number): void => {
	const listed = createIncarnation(number);
	platform.executors.restart(listed);
	platform.executorFeed.put('x', listed);
};

const startTestDaemon = async (
	t: Pick<typeof tap.t, 'fail' | 'teardown'>,
	platform: TestPlatform,
): Promise<JobDaemon> => {
	const daemon = await startDaemon(platform, 'a', (err) => {
		t.fail(err.message);
	});
	t.teardown(async () => daemon.stop());
	return daemon;
};

const waitForEnd = async (daemon: JobDaemon, id: string): Promise<void> =>
	waitUntil(
		`the end of ${id}`,
		async () => (await readState(daemon, id)) === 'completed',
	);

const countStarts = (platform: TestPlatform, id: string): number =>
	platform.executors
		.listStarts()
		.filter(({taskId}) => taskId.startsWith(`${id}.`)).length;

/** Waits until the executor is not polled any more. */
const waitUntilIdle = async ({executors}: TestPlatform): Promise<void> => {
	let polls = -1;
	while (polls !== executors.countPolls()) {
		polls = executors.countPolls();
		await delay(idleMs);
	}
};

for (const isListed of [true, false]) {
	tap.t.test(
		`tasks run once after an idle executor has started again, ${isListed ? '' : 'not '}listed yet`,
		async (t) => {
			const platform = createTestPlatform([]);
			finishTasksAfter(platform, 20);
			startIncarnation(platform, 1);
			const daemon = await startTestDaemon(t, platform);
			for (const number of [1, 2, 3, 4]) {
				const id = createId(number);
				await submit(daemon, id);
				await waitForEnd(daemon, id);
			}

			await waitUntilIdle(platform);
			if (isListed) {
				startIncarnation(platform, 2);
			} else {
				platform.executors.restart(createIncarnation(2));
			}

			const id = createId(5);
			await submit(daemon, id);
			// The owner may have polled the new incarnation before the start: it
			// then waits for the listing.
			await delay(listingDelayMs);
			platform.executorFeed.put('x', createIncarnation(2));
			await waitForEnd(daemon, id);
			t.equal(countStarts(platform, id), 1);
		},
	);
}

tap.t.test(
	'an executor that has terminated is used again once it has started again',
	async (t) => {
		const platform = createTestPlatform([]);
		const machine = {
			id: 'm',
			pool: 's',
			state: 'up',
			availabilityZone: 'a',
			labels: [],
			capacity: createListedExecutor('x').capacity,
			executorId: 'x',
		} as const;
		platform.machines.put(machine);
		startIncarnation(platform, 1);
		const daemon = await startTestDaemon(t, platform);
		await submit(daemon, createId(1), createJobSpec({isLongRunning: true}));
		const isRunning = () => platform.executors.listRunning('x').length > 0;
		await waitUntil('the task', isRunning);
		platform.executors.remove('x');
		platform.machines.put({...machine, state: 'down', executorId: undefined});
		await waitUntil('that its loss is known', () => {
			const [task] = daemon.explain(route, createId(1)) ?? [];
			return task?.state === 'waiting';
		});
		startIncarnation(platform, 2);
		platform.machines.put(machine);
		await waitUntil('the task on the new incarnation', isRunning);
		t.equal(countStarts(platform, createId(1)), 2);
	},
);

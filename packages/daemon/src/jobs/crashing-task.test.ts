/**
 * Guards against a task that crashes each executor that starts it and is
 * started again without limit, so that all other work of the service is lost
 * with the executors.
 */
import * as tap from 'tap';
import {
	createId,
	createJobSpec,
	createListedExecutor,
	createTestPlatform,
	readState,
	startDaemon,
	submit,
	waitUntil,
	type TestPlatform,
} from './job-daemon.test.fixture.js';

/** Time from the start of the task until its executor crashes. */
const crashDelayMs = 10;

const restartDelayMs = 100;

const workMs = 30;

/** Starts of the task that the platform allows in all. */
const maxStarts = 5;

/** Starts a new incarnation of an executor at the same address. */
const restartExecutor = (
	{executors, executorFeed}: TestPlatform,
	firstId: string,
	id: string,
): void => {
	const listed = {...createListedExecutor(firstId), id};
	executors.add(listed);
	executorFeed.put(id, listed);
};

/** Lets one task crash each executor that starts it; all others finish. */
const runTasks = (platform: TestPlatform, crashingTask: string): void => {
	const {executors, executorFeed} = platform;
	let restarts = 0;
	executors.onStart = ({executorId, taskId}) => {
		if (taskId !== crashingTask) {
			setTimeout(() => {
				executors.finish(executorId, taskId, 'done');
			}, workMs);
			return;
		}

		setTimeout(() => {
			executors.remove(executorId);
			executorFeed.put(executorId, undefined);
		}, crashDelayMs);
		setTimeout(() => {
			restarts += 1;
			const [firstId] = executorId.split('-') as [string];
			restartExecutor(platform, firstId, `${firstId}-${restarts}`);
		}, restartDelayMs);
	};
};

tap.t.test(
	'a task that crashes its executors is given up, and the tasks beside it are done',
	async (t) => {
		const platform = createTestPlatform(['x', 'yy', 'zzz', 'wwww']);
		const crashingTask = `${createId(1)}.0.0.0`;
		runTasks(platform, crashingTask);
		const daemon = await startDaemon(platform, 'a', (err) => {
			t.fail(err.message);
		});
		t.teardown(async () => daemon.stop());
		const others = [2, 3, 4].map((each) => createId(each));
		await submit(daemon, createId(1), createJobSpec({count: 4}));
		for (const id of others) {
			await submit(daemon, id, createJobSpec({count: 6}));
		}

		const readAll = async () =>
			Promise.all(
				[createId(1), ...others].map(async (id) => readState(daemon, id)),
			);
		const haveEnded = async () => {
			const states = await readAll();
			return states.every((each) => each !== 'queued' && each !== 'running');
		};

		await t.resolves(waitUntil('the end of all jobs', haveEnded));
		t.same(await readAll(), ['failed', 'completed', 'completed', 'completed']);
		const starts = platform.executors
			.listStarts()
			.filter(({taskId}) => taskId === crashingTask);
		t.ok(starts.length <= maxStarts, `${starts.length} starts`);
	},
);

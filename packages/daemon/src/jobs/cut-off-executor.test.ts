/**
 * Guards against executors that are never used again, though they answer, once
 * they were taken for terminated: jobs stood with room on all of them. Guards
 * as well against a second run of a task whose first one goes on meanwhile.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Machine} from '@gullstand/ports';
import * as tap from 'tap';
import {
	createId,
	createListedExecutor,
	createTestPlatform,
	readState,
	startDaemon,
	submit,
	waitUntil,
	type TestPlatform,
} from './job-daemon.test.fixture.js';
import {fleetShard, tables} from './rows/tables.js';

tap.t.setTimeout(60_000);

type Test = Pick<typeof tap.t, 'fail' | 'teardown'>;

/** Until the fleet's holder has read the list of machines a few times. */
const settleMs = 600;

/** Until the owner finds an executor unresponsive on which something runs. */
const noticeMs = 2400;

const machine: Machine = {
	id: 'm',
	pool: 's',
	state: 'up',
	availabilityZone: 'a',
	labels: [],
	capacity: createListedExecutor('x').capacity,
	executorId: 'x',
};

/** A platform with the machine of `x` and one whose executor is not listed. */
const createPlatform = (executorIds: readonly string[]): TestPlatform => {
	const platform = createTestPlatform(executorIds);
	platform.machines.put(machine);
	platform.machines.put({...machine, id: 'other', executorId: 'other'});
	return platform;
};

const start = async (
	t: Test,
	platform: TestPlatform,
	changes?: Parameters<typeof startDaemon>[3],
) => {
	const report = (err: Error) => {
		t.fail(err.message);
	};

	const daemon = await startDaemon(platform, 'a', report, changes);
	t.teardown(async () => daemon.stop());
	const isHeld = (shard: string) =>
		platform.store
			.list(tables.lease)
			.some(
				({part, value}) => part === shard && !value.includes('"holder":null'),
			);
	await waitUntil(
		'holders of the service and the fleet',
		() => isHeld('service/s') && isHeld(fleetShard),
	);
	await delay(settleMs);
	return daemon;
};

const isRunning = ({executors}: TestPlatform, id: string) =>
	executors.listRunning(id).length > 0;

/** What the list of machines shows while the executor is cut off. */
const listings: ReadonlyArray<{
	readonly name: string;
	readonly show: (platform: TestPlatform) => void;
}> = [
	{
		name: 'shown as down',
		show({machines}) {
			machines.put({...machine, state: 'down', executorId: undefined});
		},
	},
	{
		name: 'shown without an executor',
		show({machines}) {
			machines.put({...machine, executorId: undefined});
		},
	},
	{
		name: 'left out',
		show({machines}) {
			machines.remove('m');
		},
	},
	{name: 'shown as before', show: () => undefined},
];

/** Cuts off an executor on which a task runs, until it is listed again. */
const cutOff = async (
	t: Test,
	showAfterMs: number,
	show: (platform: TestPlatform) => void,
) => {
	const platform = createPlatform(['x']);
	const daemon = await start(t, platform);
	await submit(daemon, createId(1));
	await waitUntil('the first task', () => isRunning(platform, 'x'));
	platform.executors.setFault('x', 'silent');
	await delay(showAfterMs);
	show(platform);
	await delay(noticeMs + 4000 - showAfterMs);
	platform.executors.setFault('x', undefined);
	platform.machines.put(machine);
	return {platform, daemon};
};

tap.t.test(
	'an executor that was taken for terminated is used again once it answers',
	async (t) => {
		t.jobs = 10;
		for (const {name, show} of listings) {
			for (const showAfterMs of [0, noticeMs]) {
				void t.test(
					`cut off, its machine ${name} ${showAfterMs} ms later`,
					{buffered: true},
					async (t) => {
						const {platform, daemon} = await cutOff(t, showAfterMs, show);
						await submit(daemon, createId(2));
						platform.executors.onStart = ({taskId}) => {
							setImmediate(() => {
								platform.executors.finish('x', taskId, 'done');
							});
						};

						for (const id of [createId(1), createId(2)]) {
							await waitUntil(
								`the end of ${id}`,
								async () => (await readState(daemon, id)) === 'completed',
							);
						}
					},
				);
			}
		}

		void t.test(
			'slow to answer after its start, its machine not listed yet',
			{buffered: true},
			async (t) => {
				const platform = createPlatform([]);
				platform.machines.put({...machine, executorId: undefined});
				const daemon = await start(t, platform);
				platform.executors.add(createListedExecutor('x'));
				platform.executors.setFault('x', 'silent');
				platform.executorFeed.put('x', createListedExecutor('x'));
				await delay(4500);
				platform.executors.setFault('x', undefined);
				await submit(daemon, createId(1));
				await waitUntil('the task', () => isRunning(platform, 'x'));
			},
		);
		void t.test(
			'another one answered at its address before',
			{buffered: true},
			async (t) => {
				const platform = createPlatform([]);
				const daemon = await start(t, platform);
				const {address} = createListedExecutor('x');
				platform.executors.add({...createListedExecutor('yy'), address});
				platform.executorFeed.put('x', createListedExecutor('x'));
				await delay(settleMs);
				platform.executors.remove('yy');
				platform.executors.add(createListedExecutor('x'));
				await submit(daemon, createId(1));
				await waitUntil('the task', () => isRunning(platform, 'x'));
			},
		);
	},
);

tap.t.test(
	'a task has one run at a time while its executor is cut off',
	async (t) => {
		t.jobs = 10;
		for (const {name, show} of listings) {
			void t.test(`its machine ${name}`, {buffered: true}, async (t) => {
				const platform = createPlatform(['x']);
				const daemon = await start(t, platform, {taskLeaseMs: 4500});
				await submit(daemon, createId(1));
				await waitUntil('the task', () => isRunning(platform, 'x'));
				platform.executors.add(createListedExecutor('yy'));
				platform.executorFeed.put('yy', createListedExecutor('yy'));
				platform.machines.put({...machine, id: 'n', executorId: 'yy'});
				platform.executors.onStart = () => {
					t.notOk(isRunning(platform, 'x'), 'the first run has ended');
				};

				platform.executors.setFault('x', 'silent');
				await delay(noticeMs);
				show(platform);
				await waitUntil('the next run', () => isRunning(platform, 'yy'));
			});
		}
	},
);

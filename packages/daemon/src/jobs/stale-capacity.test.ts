/**
 * Guards against starts that overload an executor whose capacity shrank while
 * the registry could not be read.
 */
import {fail, type scheduler} from '@gullstand/core';
import type {ExecutorFeed} from '@gullstand/ports';
import * as tap from 'tap';
import {
	createId,
	createJobSpec,
	createListedExecutor,
	createTestPlatform,
	now,
	readState,
	startDaemon,
	submit,
	waitUntil,
	type TestPlatform,
} from './job-daemon.test.fixture.js';

/** Longer than a start may rely on a capacity that was read before. */
const outageMs = 3500;

const shrunk: scheduler.Resources = {
	cpuMillis: 1000,
	memoryMb: 4000,
	accelerators: 0,
};

/** Makes the registry's feed of a platform fail while `isLost` returns true. */
const interruptFeed = (
	platform: TestPlatform,
	isLost: () => boolean,
): TestPlatform => {
	const {executorFeed} = platform;
	const interrupted: ExecutorFeed = {
		readAll: async (timeoutMs) =>
			isLost() ? fail({kind: 'unavailable'}) : executorFeed.readAll(timeoutMs),
		readChanges: async (...args) =>
			isLost()
				? fail({kind: 'unavailable'})
				: executorFeed.readChanges(...args),
	};
	return {...platform, executorFeed: {...executorFeed, ...interrupted}};
};

tap.t.test(
	'a capacity that was not confirmed recently is not relied on',
	async (t) => {
		const state = {isLost: false};
		const platform = createTestPlatform(['x']);
		const daemon = await startDaemon(
			interruptFeed(platform, () => state.isLost),
			'a',
			(err) => {
				t.fail(err.message);
			},
		);
		t.teardown(async () => daemon.stop());
		const {executors, executorFeed} = platform;
		const estimateMs = 60_000;
		await submit(daemon, createId(1), createJobSpec({estimateMs}));
		await waitUntil('a start', () => executors.listRunning('x').length === 1);
		state.isLost = true;
		const lostAt = now();
		executorFeed.put('x', {...createListedExecutor('x'), capacity: shrunk});
		await waitUntil('a long outage', () => now() - lostAt > outageMs);
		const large = createJobSpec({
			count: 3,
			estimateMs,
			resources: {cpuMillis: 800, memoryMb: 10, accelerators: 0},
		});
		await submit(daemon, createId(2), large);
		await waitUntil('the job', async () => {
			const jobState = await readState(daemon, createId(2));
			return jobState === 'queued' || jobState === 'running';
		});
		await waitUntil('some plans', () => now() - lostAt > outageMs + 500);
		t.equal(executors.listRunning('x').length, 1, 'nothing is started');
		state.isLost = false;
		await waitUntil('a start', () => executors.listRunning('x').length === 2);
		await waitUntil('some plans', () => now() - lostAt > outageMs + 1500);
		t.equal(executors.listRunning('x').length, 2, 'as many as still fit');
	},
);

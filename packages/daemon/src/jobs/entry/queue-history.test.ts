/**
 * A job stays with the service under which it was accepted, so an entry has to
 * know all services that its queue ever had. One that learns of a queue's
 * service only by seeing it change answers that a job does not exist, if the
 * change came while no entry was up, or while the queue was off the list.
 */
import type {Configuration, QueueRoute} from '@gullstand/ports';
import * as tap from 'tap';
import type {JobDaemon} from '../job-daemon.js';
import {
	createId,
	createTestPlatform,
	route,
	startDaemon,
	submit,
	testConfiguration,
	waitUntil,
	type TestPlatform,
} from '../job-world.test.fixture.js';

const moved: QueueRoute = {...route, service: 'other'};

const withRoutes = (
	version: number,
	routes: readonly QueueRoute[],
): Configuration => ({
	...testConfiguration,
	version,
	routes,
	services: ['s', 'other'].map((name) => ({
		name,
		rejectsOverload: false,
		isStandby: false,
	})),
});

const put = (platform: TestPlatform, value: Configuration) => {
	platform.operator.put('configuration', {kind: 'configuration', value});
};

const waitForVersion = async (daemon: JobDaemon, version: number) => {
	await waitUntil(
		`version ${version}`,
		() => daemon.routes.get()?.version === version,
	);
};

type HistoryCase = {
	readonly name: string;
	/** Brings about the change; answers the entry that is asked then. */
	readonly change: (
		platform: TestPlatform,
		before: JobDaemon,
		start: (name: string) => Promise<JobDaemon>,
	) => Promise<JobDaemon>;
};

const historyCases: readonly HistoryCase[] = [
	{
		name: 'while no entry is up',
		async change(platform, before, start) {
			await before.stop();
			put(platform, withRoutes(2, [moved]));
			return start('later');
		},
	},
	{
		name: 'while the queue is off the list',
		async change(platform, before) {
			put(platform, withRoutes(2, []));
			await waitForVersion(before, 2);
			put(platform, withRoutes(3, [moved]));
			await waitForVersion(before, 3);
			return before;
		},
	},
];

for (const {name, change} of historyCases) {
	tap.t.test(`a queue that moves ${name} keeps its jobs`, async (t) => {
		const platform = createTestPlatform(['x']);
		const start = async (daemonName: string) => {
			const daemon = await startDaemon(platform, daemonName, (err) => {
				t.fail(err.message);
			});
			t.teardown(async () => daemon.stop());
			await waitUntil('readiness', () => daemon.isReady());
			return daemon;
		};

		const before = await start('before');
		const id = createId(1);
		const accepted = await submit(before, id);
		t.ok(accepted.ok);
		const asked = await change(platform, before, start);
		const state = await asked.service.readState(moved, id);
		t.equal(state.ok, true, JSON.stringify(state));
	});
}

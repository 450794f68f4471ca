/**
 * Guards against jobs that wait for an executor of the previous owner although
 * they were accepted under the new owner's lease, before it had read them.
 */
import type {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createTestPlatform,
	heldShard,
	waitUntil,
	type TestPlatform,
} from '../job-daemon.test.fixture.js';
import {tables} from '../rows/tables.js';
import {startOwnedService} from './owned-services.test.fixture.js';

const {shard} = heldShard;

/** Leases that outlast the test. */
const cfg = {taskLeaseMs: 60_000};

const early = createAcceptedJob(createId(1));
const late = createAcceptedJob(createId(2));

const putJob = async (
	store: TestPlatform['store'],
	job: scheduler.AcceptedJob,
) =>
	store.transact(
		{
			checks: [],
			puts: [
				{
					table: tables.job,
					part: shard,
					key: job.id,
					value: JSON.stringify(job),
				},
			],
			removes: [],
		},
		1000,
	);

/** Stores a job once the jobs are read first, so after the lease. */
const storeBeforeRead = (
	platform: TestPlatform,
	job: scheduler.AcceptedJob,
): TestPlatform => {
	const {store} = platform;
	let stored: Promise<unknown> | undefined;
	return {
		...platform,
		store: {
			...store,
			async read(range, timeoutMs) {
				if (range.table === tables.job) {
					stored ??= putJob(store, job);
					await stored;
				}

				return store.read(range, timeoutMs);
			},
		},
	};
};

tap.t.test(
	'a job that is accepted during a takeover does not wait for a dark executor',
	async (t) => {
		const platform = createTestPlatform(['x', 'dark']);
		const {store, executors} = platform;
		const first = await startOwnedService(t, platform, [], {cfg});
		await waitUntil('the roster', () =>
			store.list('owner').some(({value}) => value.includes('"dark"')),
		);
		first.dropAll();
		executors.setFault('dark', 'silent');
		await putJob(store, early);
		const owned = await startOwnedService(
			t,
			storeBeforeRead(platform, late),
			[],
			{cfg, held: {token: 2, previous: 'replaced'}},
		);
		await waitUntil('the late job', () =>
			executors.listStarts().some(({taskId}) => taskId.startsWith(late.id)),
		);
		const getVersion = (table: string, key: string) =>
			store.list(table).find((row) => row.key === key)?.version ?? 0;
		const [lease] = store.list(tables.lease);
		t.ok(getVersion(tables.job, early.id) < lease!.version);
		t.ok(getVersion(tables.job, late.id) > lease!.version);
		t.notOk(
			executors.listStarts().some(({taskId}) => taskId.startsWith(early.id)),
			'the job of the previous owner waits',
		);
		owned.dropAll();
	},
);

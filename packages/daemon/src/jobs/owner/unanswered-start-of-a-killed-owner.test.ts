/**
 * Guards against a task that runs twice: its start had no answer, the owner was
 * killed, and the next one started the task elsewhere while the executor could
 * yet carry the start out.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {scheduler, shardLease} from '@gullstand/core';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createListedExecutor,
	createTestPlatform,
	heldShard,
	now,
	waitUntil,
	type TestPlatform,
} from '../job-daemon.test.fixture.js';
import {tables} from '../rows/tables.js';
import {startOwnedService} from './owned-services.test.fixture.js';

const cfg = {
	taskLeaseMs: 1500,
	maxLeaseMs: 1000,
	maxLateMs: 4000,
	maxListingDelayMs: 300,
} as const;

const maxLeaseMs = scheduler.getMaxLeaseDurationMs({
	...scheduler.defaultSchedulerConfig,
	...cfg,
});

/** Until an idle executor is polled no more. */
const quietMs = 300;

const startedAtEpochMs = 1_785_000_000_000;

const addExecutor = (
	{executors, executorFeed}: TestPlatform,
	id: string,
): void => {
	const listed = {...createListedExecutor(id), startedAtEpochMs};
	executors.add(listed);
	executorFeed.put(id, listed);
};

type Case = {
	readonly name: string;
	/** Owners that are killed one after another. */
	readonly killed: number;
};

const cases: readonly Case[] = [
	{name: 'by the next owner', killed: 1},
	{name: 'by the owner after the next one', killed: 2},
];

for (const {name, killed} of cases) {
	tap.t.test(`an unanswered start is waited for ${name}`, async (t) => {
		const platform = createTestPlatform([]);
		const {store, executors} = platform;
		addExecutor(platform, 'x');
		let owned = await startOwnedService(t, platform, [], {cfg});
		const getOwner = () => owned.get(heldShard.shard)?.getOwner();
		await waitUntil('the roster', () =>
			store.list('owner').some(({value}) => value.includes('"x"')),
		);
		await waitUntil(
			'an executor that is ready',
			() => getOwner()?.executors.get('x')?.isRostered === true,
		);
		// A poll under way would be held as well, so that nothing starts.
		await delay(quietMs);
		executors.setFault('x', 'held-call');
		const job = createAcceptedJob(createId(1));
		await store.transact(
			{
				checks: [],
				puts: [
					{
						table: tables.job,
						part: heldShard.shard,
						key: job.id,
						value: JSON.stringify(job),
					},
				],
				removes: [],
			},
			1000,
		);
		await waitUntil('a start without an answer', () =>
			store.list('owner').some(({value}) => value.includes('unansweredStarts')),
		);
		const sentBy = now() - scheduler.defaultSchedulerConfig.maxTransitMs;
		executors.setFault('x', 'silent');
		addExecutor(platform, 'yy');
		for (let number = 1; number <= killed; number += 1) {
			owned.dropAll();
			owned = await startOwnedService(t, platform, [], {
				cfg,
				held: {
					token: heldShard.token + number * shardLease.tokensPerHolder,
					previous: 'replaced',
				},
			});
			await waitUntil(
				'the service',
				() => getOwner()?.possiblyStarted.size === 1,
			);
		}

		const takenOverAt = now();
		await waitUntil(
			'a start elsewhere',
			() => executors.listStarts().length > 0,
			4 * cfg.maxLateMs,
		);
		const startedAt = now();
		t.ok(
			startedAt >= sentBy + cfg.maxLateMs,
			`${Math.round(startedAt - sentBy)} ms after it was sent`,
		);
		t.ok(startedAt > takenOverAt + maxLeaseMs, 'later than by its lease');
	});
}

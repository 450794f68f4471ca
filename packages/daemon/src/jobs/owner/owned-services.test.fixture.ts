/** Owner of the service `s` without a daemon around it, for tests. */
import {scheduler} from '@gullstand/core';
import type * as tap from 'tap';
import winston from 'winston';
import {
	heldShard,
	noRowFaults,
	now,
	type TestPlatform,
} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import {getLeaseKey, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {
	createOwnedServices,
	type OwnedServices,
	type OwnedServicesDeps,
} from './owned-services.js';

const clock = {now, epochNow: () => Date.now()};

/** Differences of an owner from the first one, whose ownership is confirmed. */
export type OwnerChanges = Partial<
	Pick<OwnedServicesDeps, 'advice' | 'getLeasesConfirmedAt' | 'onOwnershipLost'>
> & {
	readonly held?: Partial<HeldShard>;
	readonly cfg?: Partial<scheduler.SchedulerConfig>;
};

/** Stores the lease and the jobs, and starts the owner of the service. */
export const startOwnedService = async (
	t: Pick<typeof tap.t, 'fail' | 'teardown'>,
	platform: TestPlatform,
	jobs: readonly scheduler.AcceptedJob[] = [],
	{held, cfg, ...changes}: OwnerChanges = {},
): Promise<OwnedServices> => {
	const {shard} = heldShard;
	const taken = await platform.store.transact(
		{
			checks: [],
			puts: [
				{...getLeaseKey(shard), value: '1'},
				...jobs.map((job) => ({
					table: tables.job,
					part: shard,
					key: job.id,
					value: JSON.stringify(job),
				})),
			],
			removes: [],
		},
		1000,
	);
	const owned = createOwnedServices({
		store: platform.store,
		executors: platform.executors,
		executorFeed: platform.executorFeed,
		advice: undefined,
		random: Math.random,
		clock,
		cfg: {...scheduler.defaultSchedulerConfig, ...cfg},
		logger: winston.createLogger({silent: true}),
		metrics: createJobMetrics(),
		rowFaults: noRowFaults,
		hasService: () => true,
		rejectsOverload: () => false,
		teamCaps: {
			hasTeams: () => false,
			getCap: () => undefined,
			getWeight: () => undefined,
		},
		commits: {
			mayBeStoring: () => false,
			getUnansweredAt: () => Number.NEGATIVE_INFINITY,
		},
		getLeasesConfirmedAt: () => ({at: now(), epochAt: Date.now()}),
		hasReleased: async () => true,
		listTokens: () => [],
		onOwnershipLost(_shard, rows) {
			t.fail(JSON.stringify(rows));
		},
		onFailed(_shard, loop) {
			t.fail(loop);
		},
		reportFailure(err) {
			t.fail(err.message);
		},
		...changes,
	});
	t.teardown(owned.dropAll);
	const version = taken.ok ? taken.value.version : 0;
	owned.start({...heldShard, ...held, version}, 's');
	return owned;
};

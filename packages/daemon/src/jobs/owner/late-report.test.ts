/**
 * Guards against giving up an executor on a report about its previous
 * incarnation: its runs would go on, and their tasks start elsewhere too.
 */
import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import winston from 'winston';
import {
	createTestPlatform,
	heldShard,
	noRowFaults,
	now,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {createJobMetrics} from '../job-metrics.js';
import {getLeaseKey} from '../rows/tables.js';
import {createOwnedServices} from './owned-services.js';

const clock = {now, epochNow: () => Date.now()};

for (const isUnresponsive of [false, true]) {
	tap.t.test(
		`an executor that ${isUnresponsive ? 'does not answer' : 'answers'} is ${isUnresponsive ? '' : 'not '}given up when the platform no longer lists it`,
		async (t) => {
			const platform = createTestPlatform(['x']);
			const put = {...getLeaseKey(heldShard.shard), value: '1'};
			const taken = await platform.store.transact(
				{checks: [], puts: [put], removes: []},
				1000,
			);
			const owned = createOwnedServices({
				store: platform.store,
				executors: platform.executors,
				executorFeed: platform.executorFeed,
				advice: undefined,
				clock,
				cfg: scheduler.defaultSchedulerConfig,
				logger: winston.createLogger({silent: true}),
				metrics: createJobMetrics(),
				rowFaults: noRowFaults,
				hasService: () => true,
				rejectsOverload: () => false,
				getLeasesConfirmedAt: () => ({at: now(), epochAt: Date.now()}),
				hasReleased: async () => true,
				onOwnershipLost(_shard, rows) {
					t.fail(JSON.stringify(rows));
				},
				reportFailure(err) {
					t.fail(err.message);
				},
			});
			t.teardown(owned.dropAll);
			const version = taken.ok ? taken.value.version : 0;
			owned.start({...heldShard, version}, 's');
			const getRunner = () => owned.get(heldShard.shard);
			const getExecutor = () => getRunner()?.getOwner()?.executors.get('x');
			await waitUntil(
				'the executor',
				() => getExecutor()?.isRostered === true && getExecutor()!.isAdopted,
			);
			if (isUnresponsive) {
				scheduler.markUnresponsive(getRunner()!.getOwner()!, 'x', now());
			}

			getRunner()!.markTerminated('x');
			t.equal(getExecutor() === undefined, isUnresponsive);
		},
	);
}

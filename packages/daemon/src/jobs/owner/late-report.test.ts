/**
 * Guards against giving up an executor on a report about its previous
 * incarnation: its runs would go on, and their tasks start elsewhere too.
 */
import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {
	createTestPlatform,
	heldShard,
	now,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {startOwnedService} from './owned-services.test.fixture.js';

for (const isUnresponsive of [false, true]) {
	tap.t.test(
		`an executor that ${isUnresponsive ? 'does not answer' : 'answers'} is ${isUnresponsive ? '' : 'not '}given up when the platform no longer lists it`,
		async (t) => {
			const owned = await startOwnedService(t, createTestPlatform(['x']));
			const getRunner = () => owned.get(heldShard.shard);
			const getExecutor = () => getRunner()?.getOwner()?.executors.get('x');
			await waitUntil('the executor', () => {
				const executor = getExecutor();
				return executor?.isRostered === true && executor.isAdopted;
			});
			if (isUnresponsive) {
				scheduler.markUnresponsive(getRunner()!.getOwner()!, 'x', now());
			}

			getRunner()!.markTerminated('x');
			t.equal(getExecutor() === undefined, isUnresponsive);
		},
	);
}

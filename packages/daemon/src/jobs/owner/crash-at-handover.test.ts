/**
 * Guards against forgetting a crash that is not confirmed yet when its owner
 * stops: in a rolling restart, the task would crash one executor per owner.
 */
import type {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createTestPlatform,
	heldShard,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {tables} from '../rows/tables.js';
import {startOwnedService} from './owned-services.test.fixture.js';

tap.t.test(
	'an owner that stops stores the loss of executors that do not answer',
	async (t) => {
		const platform = createTestPlatform(['x']);
		platform.executors.onStart = ({executorId}) => {
			platform.executors.setFault(executorId, 'silent');
		};

		const id = createId(1);
		const {shard} = heldShard;
		const owned = await startOwnedService(t, platform, [createAcceptedJob(id)]);
		await waitUntil('the loss', () => {
			const executor = owned.get(shard)?.getOwner()?.executors.get('x');
			return (
				executor?.unresponsiveSince !== undefined && executor.runs.size > 0
			);
		});
		await owned.release(shard);
		const [row] = platform.store.list(tables.progress);
		const progress = JSON.parse(row?.value ?? '{}') as scheduler.JobProgress;
		t.match(progress.occurrences?.[0]?.tasks[`${id}.0.0.0`], {
			crashes: [{wasIsolated: false}],
		});
	},
);

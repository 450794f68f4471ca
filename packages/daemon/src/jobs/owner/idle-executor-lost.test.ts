/** Guards against `clear` from memory for an idle executor that is gone. */
import * as tap from 'tap';
import {
	createTestPlatform,
	heldShard,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {startOwnedService} from './owned-services.test.fixture.js';

for (const isLost of [false, true]) {
	tap.t.test(
		`an idle executor that is ${isLost ? 'lost' : 'up'} is ${isLost ? 'not ' : ''}clear`,
		async (t) => {
			const platform = createTestPlatform(['x']);
			const owned = await startOwnedService(t, platform);
			const getRunner = () => owned.get(heldShard.shard);
			await waitUntil('the executor', () => {
				const executor = getRunner()?.getOwner()?.executors.get('x');
				return executor?.isRostered === true && executor.isAdopted;
			});
			if (isLost) {
				platform.executors.remove('x');
			}

			const request = async () =>
				getRunner()!.evacuate('x', {
					patienceMs: 0,
					order: {token: 1, at: 0},
				});
			const state = await request();
			t.equal(state.kind === 'clear', !isLost);
		},
	);
}

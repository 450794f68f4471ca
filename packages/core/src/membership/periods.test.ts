import * as tap from 'tap';
import {getPeriods} from './periods.js';
import {isSafeSettings, membershipDefaults} from './membership-status.js';

const sizes = [1, 9, 50, 100, 243, 1000];

for (const entries of sizes) {
	tap.t.test(`periods of ${entries} entries`, async (t) => {
		const {viewPollMs, heartbeatMs, watchMs, leaseMs, membership} =
			getPeriods(entries);
		t.ok(isSafeSettings(membership));
		t.ok(leaseMs >= 3 * heartbeatMs);
		for (const periodMs of [viewPollMs, heartbeatMs, watchMs]) {
			const callsPerSecond = (entries * 1000) / periodMs;
			t.ok(callsPerSecond <= 50, `${callsPerSecond} a second`);
		}
	});
}

tap.t.test('nine entries use the defaults', async (t) => {
	t.same(getPeriods(9).membership, membershipDefaults);
});

import * as tap from 'tap';
import * as platform from '@gullstand/ports';
import {reportEntryCount} from './open-platform.js';

tap.t.test('reports the number of listed entries', async (t) => {
	const list = platform.createMemoryInstanceList();
	const counts: number[] = [];
	const control = platform.faults.createFaultControl({
		random: () => 0.5,
		wait: async () => undefined,
		timeoutMs: 1,
	});
	const shared = reportEntryCount(
		platform.faults.wrapInstanceList(list, control),
		(count) => counts.push(count),
	);
	for (const [id, role, state] of [
		['e1', 'entry', 'live'],
		['e2', 'entry', 'leaving'],
		['x1', 'executor', 'live'],
	] as const) {
		list.set({
			id,
			role,
			state,
			address: '127.0.0.1:1',
			availabilityZone: 'a',
			incarnation: '1',
		});
		await shared.list();
	}

	control.set({isDown: true});
	await shared.list();
	t.same(counts, [1, 2, 2]);
});

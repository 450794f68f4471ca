import * as tap from 'tap';
import {daemonSchema, decodeRow} from './tables.js';

const row = {incarnation: 'i', address: 'a', beat: 3};

const cases = [
	['of an older release', row, true],
	['with a capacity', {...row, capacity: {cores: 1.35, linkMbps: 7}}, true],
	['with an incomplete capacity', {...row, capacity: {cores: 1.35}}, false],
] as const;

for (const [name, value, isDecoded] of cases) {
	tap.t.test(`decodes a heartbeat ${name}`, async (t) => {
		const decoded = decodeRow(daemonSchema, JSON.stringify(value));
		t.same(
			decoded.ok ? decoded.value : undefined,
			isDecoded ? value : undefined,
		);
	});
}

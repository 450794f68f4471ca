/** Rows that cannot be read are skipped and said; the others are taken in. */
import type {StoredRow} from '@gullstand/ports';
import * as tap from 'tap';
import {jobSchema, tables} from './tables.js';
import {decodeRows} from './decode-rows.js';

const valid = {
	id: 'j1',
	acceptedAtEpochMs: 1,
	policy: {queue: 'q', class: 'c'},
	spec: {steps: []},
};

const cases: ReadonlyArray<readonly [name: string, value: string]> = [
	['no text', ''],
	['text that is not JSON', '{"id":'],
	['a number', '7'],
	['null', 'null'],
	['an empty object', '{}'],
	['an object without steps', JSON.stringify({...valid, spec: {}})],
	['an id that is a number', JSON.stringify({...valid, id: 7})],
];

for (const [name, value] of cases) {
	tap.t.test(`a job row that holds ${name} is skipped`, (t) => {
		const row: StoredRow = {
			table: tables.job,
			part: 'service/s',
			key: 'broken',
			value,
			version: 1,
		};
		const said: unknown[] = [];
		const rows = [
			...decodeRows([row], jobSchema, {
				warn(...line: unknown[]) {
					said.push(line);
				},
			} as never),
		];
		t.same(rows, []);
		t.match(said, [['row skipped', {table: tables.job, key: 'broken'}]]);
		t.end();
	});
}

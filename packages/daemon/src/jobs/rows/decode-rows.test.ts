/** Unreadable rows are skipped and logged; the others are decoded. */
import type {StoredRow} from '@gullstand/ports';
import * as tap from 'tap';
import {decodeRow, jobSchema, progressSchema, tables} from './tables.js';
import {decodeRows} from './decode-rows.js';

const valid = {
	id: 'j1',
	acceptedAtEpochMs: 1,
	policy: {queue: 'q', class: 'c'},
	spec: {steps: []},
};

const cases: ReadonlyArray<readonly [name: string, value: string]> = [
	['an empty text', ''],
	['text that is not JSON', '{"id":'],
	['a number', '7'],
	['null', 'null'],
	['an empty object', '{}'],
	['an object without steps', JSON.stringify({...valid, spec: {}})],
	['an id that is a number', JSON.stringify({...valid, id: 7})],
];

for (const [name, value] of cases) {
	tap.t.test(`a job row with ${name} is skipped`, (t) => {
		const row: StoredRow = {
			table: tables.job,
			part: 'service/s',
			key: 'broken',
			value,
			version: 1,
		};
		const logged: unknown[] = [];
		const rows = [
			...decodeRows([row], jobSchema, {
				warn(...line: unknown[]) {
					logged.push(line);
				},
			} as never),
		];
		t.same(rows, []);
		t.match(logged, [['row skipped', {table: tables.job, key: 'broken'}]]);
		t.end();
	});
}

const taskProgress: ReadonlyArray<readonly [name: string, task: object]> = [
	['counts only', {failures: 1}],
	['a checkpoint', {failures: 0, checkpoint: 'half'}],
	[
		'the runs of its failures and checkpoint',
		{
			failures: 1,
			failedRuns: [10_001],
			checkpoint: 'half',
			checkpointRun: 10_002,
		},
	],
];

for (const [name, task] of taskProgress) {
	tap.t.test(`decodes all progress of a task with ${name}`, (t) => {
		const progress = {
			doneOccurrences: 0,
			nextOccurrence: 1,
			occurrences: [{number: 0, done: ['0'], tasks: {'j1.0.0.0': task}}],
		};
		t.same(decodeRow(progressSchema, JSON.stringify(progress)), {
			ok: true,
			value: progress,
		});
		t.end();
	});
}

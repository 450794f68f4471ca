/** Rows that cannot be read are told once and counted. */
import * as tap from 'tap';
import {createJobMetrics} from '../job-metrics.js';
import {createRowFaults, type RowFaults} from './row-faults.js';

const row = {table: 't', key: 'k', problem: 'not JSON'};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly steps: (faults: RowFaults) => void;
	readonly lines: number;
	readonly count: number;
}> = [
	{
		name: 'read again and again',
		steps(faults) {
			faults.report(row);
			faults.report(row);
			faults.keepOnly('t', new Set(['k']));
			faults.report(row);
		},
		lines: 1,
		count: 1,
	},
	{
		name: 'with another problem',
		steps(faults) {
			faults.report(row);
			faults.report({...row, problem: 'no zone'});
		},
		lines: 2,
		count: 2,
	},
	{
		name: 'of another key',
		steps(faults) {
			faults.report(row);
			faults.report({...row, key: 'other'});
		},
		lines: 2,
		count: 2,
	},
	{
		name: 'that could be read meanwhile',
		steps(faults) {
			faults.report(row);
			faults.clear('t', 'k');
			faults.report(row);
		},
		lines: 2,
		count: 2,
	},
	{
		name: 'that was gone meanwhile',
		steps(faults) {
			faults.report(row);
			faults.keepOnly('t', new Set());
			faults.report(row);
		},
		lines: 2,
		count: 2,
	},
	{
		name: 'while another table was read whole',
		steps(faults) {
			faults.report(row);
			faults.keepOnly('other', new Set());
			faults.report(row);
		},
		lines: 1,
		count: 1,
	},
	{
		name: 'among more than are remembered',
		steps(faults) {
			for (let number = 0; number < 1500; number += 1) {
				faults.report({...row, key: `k${number}`});
			}
		},
		lines: 1000,
		count: 1500,
	},
];

for (const {name, steps, lines, count} of cases) {
	tap.t.test(`a row ${name}`, (t) => {
		const told: unknown[] = [];
		const metrics = createJobMetrics();
		steps(
			createRowFaults({
				metrics,
				logger: {
					warn(...line: unknown[]) {
						told.push(line);
						return undefined as never;
					},
				},
			}),
		);
		t.equal(told.length, lines);
		t.match(told[0], ['row skipped', {table: 't', problem: row.problem}]);
		t.match(
			metrics.formatText(),
			`gullstand_rows_unreadable{label="t"} ${count}\n`,
		);
		t.end();
	});
}

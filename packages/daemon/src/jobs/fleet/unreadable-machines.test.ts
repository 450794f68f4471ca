import type {Machine, Machines} from '@gullstand/ports';
import * as tap from 'tap';
import type {Logger} from '../../log/logger.js';
import {createRowFaults} from '../rows/row-faults.js';
import {reportUnreadableMachines} from './unreadable-machines.js';

const createMachine = (id: string, problem?: string): Machine => ({
	id,
	pool: 's',
	state: 'up',
	availabilityZone: 'z',
	labels: [],
	capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 0},
	executorId: undefined,
	...(problem !== undefined && {problem}),
});

/** Lists in order, and the machines that are reported after each. */
const lists: ReadonlyArray<
	readonly [machines: readonly Machine[], reported: readonly string[]]
> = [
	[[createMachine('a'), createMachine('b', 'x')], ['b']],
	[[createMachine('a'), createMachine('b', 'x')], []],
	[[createMachine('a', 'x'), createMachine('b')], ['a']],
	[[createMachine('b', 'x')], ['b']],
	[[createMachine('a', 'x')], ['a']],
];

tap.t.test('a machine that cannot be read is reported once', async (t) => {
	const reported: unknown[] = [];
	let listed: readonly Machine[] = [];
	const machines = reportUnreadableMachines(
		{list: async () => ({ok: true, value: listed})} as unknown as Machines,
		createRowFaults({
			logger: {
				warn: ((message: string, fields: object) => {
					reported.push({message, ...fields});
				}) as unknown as Logger['warn'],
			},
			metrics: {count: () => undefined},
		}),
	);
	for (const [next, expected] of lists) {
		listed = next;
		t.same(await machines.list(100), {ok: true, value: next});
		t.same(
			reported.splice(0),
			expected.map((key) => ({
				message: 'row skipped',
				table: 'machines',
				key,
				problem: 'x',
			})),
		);
	}
});

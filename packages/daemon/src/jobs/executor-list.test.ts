/** The list of executors, with entries of other writers. */
import type {scheduler} from '@gullstand/core';
import type {FeedEntry} from '@gullstand/ports';
import * as tap from 'tap';
import {createExecutorList, type ExecutorList} from './executor-list.js';
import {createJobMetrics} from './job-metrics.js';
import {createListedExecutor} from './job-daemon.test.fixture.js';
import {createRowFaults, type UnreadableRow} from './rows/row-faults.js';

type Entry = FeedEntry<scheduler.ListedExecutor>;

const sound = (key: string): Entry => ({key, value: createListedExecutor(key)});

const ofService = (key: string, service: string): Entry => ({
	key,
	value: {...createListedExecutor(key), service},
});

const unreadable = (key: string): Entry => ({
	key,
	value: undefined,
	problem: 'no address',
});

const gone = (key: string): Entry => ({key, value: undefined});

const read = (list: ExecutorList, ...entries: readonly Entry[]) => {
	list.applyChanges({entries, version: 1});
};

const readWhole = (list: ExecutorList, ...entries: readonly Entry[]) => {
	list.applyWhole({entries, version: 1});
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly steps: (list: ExecutorList) => void;
	readonly listed: readonly string[];
	readonly told: readonly string[];
}> = [
	{
		name: 'one that cannot be read is not listed, the others are',
		steps(list) {
			readWhole(list, sound('a'), unreadable('b'), sound('c'));
		},
		listed: ['a', 'c'],
		told: ['b'],
	},
	{
		name: 'one that cannot be read any more is off the list',
		steps(list) {
			readWhole(list, sound('a'), sound('b'));
			read(list, unreadable('b'));
		},
		listed: ['a'],
		told: ['b'],
	},
	{
		name: 'it is told once, also when all is read again',
		steps(list) {
			readWhole(list, unreadable('b'));
			read(list, unreadable('b'));
			readWhole(list, sound('a'), unreadable('b'));
		},
		listed: ['a'],
		told: ['b'],
	},
	{
		name: 'it is listed once it can be read',
		steps(list) {
			readWhole(list, unreadable('b'));
			read(list, sound('b'));
		},
		listed: ['b'],
		told: ['b'],
	},
	{
		name: 'it is told again after it was sound, or gone',
		steps(list) {
			readWhole(list, unreadable('b'));
			read(list, sound('b'), unreadable('b'));
			read(list, gone('b'), unreadable('b'));
			readWhole(list);
			readWhole(list, unreadable('b'));
		},
		listed: [],
		told: ['b', 'b', 'b', 'b'],
	},
	{
		name: 'one that is gone is no fault',
		steps(list) {
			readWhole(list, sound('a'));
			read(list, gone('a'), gone('never seen'));
		},
		listed: [],
		told: [],
	},
	{
		name: 'one of an unknown service is told and waits for its service',
		steps(list) {
			readWhole(list, ofService('b', 'of nobody'));
			read(list, ofService('b', 'of nobody'));
		},
		listed: ['b'],
		told: ['b'],
	},
];

for (const {name, steps, listed, told} of cases) {
	tap.t.test(name, (t) => {
		const lines: string[] = [];
		const rowFaults = createRowFaults({
			metrics: createJobMetrics(),
			logger: {
				warn(...[, row]: unknown[]) {
					lines.push((row as UnreadableRow).key);
					return undefined as never;
				},
			},
		});
		const list = createExecutorList({
			rowFaults,
			hasService: (service) => service === 's',
		});
		steps(list);
		t.same(
			list.list().map(({id}) => id),
			listed,
		);
		t.same(lines, told);
		t.end();
	});
}

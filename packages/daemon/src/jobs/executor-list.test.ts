/** Guards the list against registry entries that other programs wrote. */
import type {scheduler} from '@gullstand/core';
import type {FeedEntry} from '@gullstand/ports';
import * as tap from 'tap';
import {createExecutorList, type ExecutorList} from './executor-list.js';
import {createJobMetrics} from './job-metrics.js';
import {createListedExecutor} from './job-daemon.test.fixture.js';
import {createRowFaults, type UnreadableRow} from './rows/row-faults.js';

type Entry = FeedEntry<scheduler.ListedExecutor>;

const readable = (key: string): Entry => ({
	key,
	value: createListedExecutor(key),
});

const ofService = (key: string, service: string): Entry => ({
	key,
	value: {...createListedExecutor(key), service},
});

const unreadable = (key: string): Entry => ({
	key,
	value: undefined,
	problem: 'no address',
});

const removed = (key: string): Entry => ({key, value: undefined});

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
	readonly reported: readonly string[];
}> = [
	{
		name: 'an unreadable entry is not listed, the others are',
		steps(list) {
			readWhole(list, readable('a'), unreadable('b'), readable('c'));
		},
		listed: ['a', 'c'],
		reported: ['b'],
	},
	{
		name: 'an entry that becomes unreadable is removed',
		steps(list) {
			readWhole(list, readable('a'), readable('b'));
			read(list, unreadable('b'));
		},
		listed: ['a'],
		reported: ['b'],
	},
	{
		name: 'it is reported once, also if the list is read again',
		steps(list) {
			readWhole(list, unreadable('b'));
			read(list, unreadable('b'));
			readWhole(list, readable('a'), unreadable('b'));
		},
		listed: ['a'],
		reported: ['b'],
	},
	{
		name: 'it is listed once it is readable',
		steps(list) {
			readWhole(list, unreadable('b'));
			read(list, readable('b'));
		},
		listed: ['b'],
		reported: ['b'],
	},
	{
		name: 'it is reported again after it was readable or removed',
		steps(list) {
			readWhole(list, unreadable('b'));
			read(list, readable('b'), unreadable('b'));
			read(list, removed('b'), unreadable('b'));
			readWhole(list);
			readWhole(list, unreadable('b'));
		},
		listed: [],
		reported: ['b', 'b', 'b', 'b'],
	},
	{
		name: 'a removed entry is not reported',
		steps(list) {
			readWhole(list, readable('a'));
			read(list, removed('a'), removed('never seen'));
		},
		listed: [],
		reported: [],
	},
	{
		name: 'an entry of an unknown service is reported and listed',
		steps(list) {
			readWhole(list, ofService('b', 'of nobody'));
			read(list, ofService('b', 'of nobody'));
		},
		listed: ['b'],
		reported: ['b'],
	},
];

for (const {name, steps, listed, reported} of cases) {
	tap.t.test(name, (t) => {
		const reportedKeys: string[] = [];
		const rowFaults = createRowFaults({
			metrics: createJobMetrics(),
			logger: {
				warn(...[, row]: unknown[]) {
					reportedKeys.push((row as UnreadableRow).key);
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
		t.same(reportedKeys, reported);
		t.end();
	});
}

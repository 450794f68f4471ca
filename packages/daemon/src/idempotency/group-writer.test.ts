import type * as core from '@gullstand/core';
import * as platform from '@gullstand/ports';
import * as standIn from '@gullstand/stand-in';
import * as tap from 'tap';
import {createGroupWriter, defaultGroupSettings} from './group-writer.js';

const spacingMs = 25;
const windowMs = 100;
const commitMs = 3;

const createRow = (operationId: string): core.idempotency.StartedRow => ({
	state: 'started',
	fingerprint: 'f',
	holder: {entry: 'e', incarnation: 'i', operationId},
	startedAt: 0,
	deadlineAt: 1,
	settleAt: 2,
	expiresAt: 3,
});

const createWorld = (
	changes: {maxWrites?: number; maxCommits?: number} = {},
) => {
	const {maxWrites = 100, maxCommits = 4} = changes;
	const clock = standIn.createVirtualClock();
	const inner = platform.createMemoryTableService({
		...platform.defaultTableLimits,
		maxWritesPerCommit: maxWrites,
	});
	const commits: Array<{at: number; keys: string}> = [];
	let out = 0;
	let mostOut = 0;
	const writer = createGroupWriter({
		tables: {
			...inner,
			async commit(writes, operationId) {
				const keys = writes.map(({key}) => key).join('');
				commits.push({at: clock.getNow(), keys});
				mostOut = Math.max(mostOut, ++out);
				await clock.wait(commitMs);
				out--;
				return inner.commit(writes, operationId);
			},
		},
		clock: {
			getTime: () => ({now: clock.getNow(), date: clock.getNow()}),
			callAt: clock.callAt,
		},
		randomness: {createId: () => 'id', draw: () => 0.5},
		settings: {...defaultGroupSettings, spacingMs, windowMs, maxCommits},
	});
	const ends: string[] = [];
	/** Plans a write at a time; the result takes it back. */
	const write = (at: number, key: string, isUrgent = true) => {
		let withdraw = () => false;
		clock.callAt(at, () => {
			withdraw = writer.write({
				key,
				row: createRow(key),
				when: {kind: 'absent'},
				isUrgent,
				onEnd(result) {
					ends.push(`${key} ${result.kind}`);
				},
			});
		});
		return () => withdraw();
	};

	return {clock, commits, ends, write, getMostOut: () => mostOut};
};

type Planned = [at: number, key: string, isUrgent: boolean];
type Row = [name: string, planned: Planned[], commits: Array<[number, string]>];

const rows: Row[] = [
	['one that is waited for goes at once', [[5, 'a', true]], [[5, 'a']]],
	[
		'others wait for the spacing, and go together',
		[
			[0, 'a', true],
			[1, 'b', true],
			[24, 'c', true],
			[26, 'd', true],
		],
		[
			[0, 'a'],
			[25, 'bc'],
			[50, 'd'],
		],
	],
	['one that is not waited for is held', [[0, 'a', false]], [[100, 'a']]],
	[
		'it goes along with one that is waited for',
		[
			[0, 'a', false],
			[40, 'b', true],
		],
		[[40, 'ab']],
	],
	[
		'a key goes once in a commit',
		[
			[0, 'x', true],
			[1, 'a', true],
			[2, 'a', true],
			[3, 'b', true],
		],
		[
			[0, 'x'],
			[25, 'ab'],
			[25, 'a'],
		],
	],
];

for (const [name, planned, expected] of rows) {
	tap.t.test(`sends: ${name}`, async (t) => {
		const world = createWorld();
		for (const each of planned) {
			world.write(...each);
		}

		await world.clock.runUntil(1000);
		t.same(
			world.commits.map(({at, keys}) => [at, keys]),
			expected,
		);
		t.equal(world.ends.length, planned.length, 'each ends once');
	});
}

tap.t.test('a write that was not sent can be taken back', async (t) => {
	const world = createWorld();
	const withdrawFirst = world.write(0, 'a');
	const withdrawSecond = world.write(1, 'b');
	await world.clock.runUntil(10);
	t.equal(withdrawFirst(), false, 'sent');
	t.equal(withdrawSecond(), true, 'queued');
	t.equal(withdrawSecond(), false, 'taken back before');
	await world.clock.runUntil(1000);
	t.same(world.ends, ['a committed']);
	t.equal(world.commits.length, 1);
});

tap.t.test('what is too large goes in halves', async (t) => {
	const world = createWorld({maxWrites: 2});
	world.write(0, 'x');
	for (const key of ['a', 'b', 'c', 'd', 'e']) {
		world.write(1, key);
	}

	await world.clock.runUntil(1000);
	t.same(
		world.commits.map(({keys}) => keys),
		['x', 'abcde', 'abc', 'de', 'ab', 'c'],
	);
	t.ok(world.ends.every((end) => end.endsWith('committed')));
	t.equal(world.ends.length, 6);
});

tap.t.test('one that is too large by itself is refused', async (t) => {
	const world = createWorld({maxWrites: 0});
	world.write(0, 'a');
	await world.clock.runUntil(1000);
	t.same(world.ends, ['a refused']);
});

tap.t.test('commits that are out are bounded', async (t) => {
	const world = createWorld({maxCommits: 2});
	for (let index = 0; index < 5 * defaultGroupSettings.maxRows; index++) {
		world.write(0, `${index} `);
	}

	await world.clock.runUntil(1000);
	t.equal(world.getMostOut(), 2);
	t.equal(world.ends.length, 5 * defaultGroupSettings.maxRows);
});

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

const createFixture = (
	changes: {maxWrites?: number; maxCommits?: number} = {},
) => {
	const {maxWrites = 100, maxCommits = 4} = changes;
	const clock = standIn.createVirtualClock();
	const inner = platform.createMemoryTableService({
		...platform.defaultTableLimits,
		maxWritesPerCommit: maxWrites,
	});
	const commits: Array<{at: number; keys: string}> = [];
	let inFlight = 0;
	let maxInFlight = 0;
	const writer = createGroupWriter({
		tables: {
			...inner,
			async commit(writes, operationId) {
				const keys = writes.map(({key}) => key).join('');
				commits.push({at: clock.getNow(), keys});
				maxInFlight = Math.max(maxInFlight, ++inFlight);
				await clock.wait(commitMs);
				inFlight--;
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
	/** Schedules a write; the returned function cancels it. */
	const write = (at: number, key: string, isUrgent = true) => {
		let cancel = () => false;
		clock.callAt(at, () => {
			cancel = writer.write({
				key,
				row: createRow(key),
				when: {kind: 'absent'},
				isUrgent,
				onEnd(result) {
					ends.push(`${key} ${result.kind}`);
				},
			});
		});
		return () => cancel();
	};

	return {clock, commits, ends, write, getMaxInFlight: () => maxInFlight};
};

type Planned = [at: number, key: string, isUrgent: boolean];
type Row = [name: string, planned: Planned[], commits: Array<[number, string]>];

const rows: Row[] = [
	['an urgent write is sent immediately', [[5, 'a', true]], [[5, 'a']]],
	[
		'later writes wait for the spacing and share a commit',
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
	[
		'a write that is not urgent waits for the window',
		[[0, 'a', false]],
		[[100, 'a']],
	],
	[
		'a write that is not urgent joins an urgent one',
		[
			[0, 'a', false],
			[40, 'b', true],
		],
		[[40, 'ab']],
	],
	[
		'a commit holds each key once',
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
		const fixture = createFixture();
		for (const each of planned) {
			fixture.write(...each);
		}

		await fixture.clock.runUntil(1000);
		t.same(
			fixture.commits.map(({at, keys}) => [at, keys]),
			expected,
		);
		t.equal(fixture.ends.length, planned.length, 'each ends once');
	});
}

tap.t.test('a write that was not sent can be cancelled', async (t) => {
	const fixture = createFixture();
	const cancelFirst = fixture.write(0, 'a');
	const cancelSecond = fixture.write(1, 'b');
	await fixture.clock.runUntil(10);
	t.equal(cancelFirst(), false, 'sent');
	t.equal(cancelSecond(), true, 'queued');
	t.equal(cancelSecond(), false, 'cancelled before');
	await fixture.clock.runUntil(1000);
	t.same(fixture.ends, ['a committed']);
	t.equal(fixture.commits.length, 1);
});

tap.t.test('a group that is too large is split in halves', async (t) => {
	const fixture = createFixture({maxWrites: 2});
	fixture.write(0, 'x');
	for (const key of ['a', 'b', 'c', 'd', 'e']) {
		fixture.write(1, key);
	}

	await fixture.clock.runUntil(1000);
	t.same(
		fixture.commits.map(({keys}) => keys),
		['x', 'abcde', 'abc', 'de', 'ab', 'c'],
	);
	t.ok(fixture.ends.every((end) => end.endsWith('committed')));
	t.equal(fixture.ends.length, 6);
});

tap.t.test('a single write that is too large is refused', async (t) => {
	const fixture = createFixture({maxWrites: 0});
	fixture.write(0, 'a');
	await fixture.clock.runUntil(1000);
	t.same(fixture.ends, ['a refused']);
});

tap.t.test('the number of commits in flight is bounded', async (t) => {
	const fixture = createFixture({maxCommits: 2});
	for (let index = 0; index < 5 * defaultGroupSettings.maxRows; index++) {
		fixture.write(0, `${index} `);
	}

	await fixture.clock.runUntil(1000);
	t.equal(fixture.getMaxInFlight(), 2);
	t.equal(fixture.ends.length, 5 * defaultGroupSettings.maxRows);
});

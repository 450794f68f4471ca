/**
 * Guards against a service with so many executors that its roster cannot be
 * stored, so that none of them is ever given work.
 */
import {Buffer} from 'node:buffer';
import * as tap from 'tap';
import {createListedExecutor} from '../job-daemon.test.fixture.js';
import {
	encodeRoster,
	isRosterKey,
	maxRosterRows,
	planRosterWrites,
} from './roster-rows.js';

const part = 'service/s';

const createRoster = (count: number) =>
	Array.from({length: count}, (_, index) => ({
		...createListedExecutor(
			`i-${(index * 7919).toString(16).padStart(10, '0')}`,
		),
		address: '10.3.64.100:8589',
		availabilityZone: 'leicester-hall',
		startedAtEpochMs: 1_785_000_000_000,
	}));

const sizes = [
	{count: 0, isSplit: false},
	{count: 9, isSplit: false},
	{count: 150, isSplit: false},
	{count: 700, isSplit: true},
	{count: 2000, isSplit: true},
] as const;

for (const {count, isSplit} of sizes) {
	tap.t.test(`a roster of ${count} executors`, async (t) => {
		const roster = createRoster(count);
		const encoded = encodeRoster(roster);
		t.equal(encoded.size > 1, isSplit);
		t.ok(encoded.size <= maxRosterRows);
		for (const [key, value] of encoded) {
			t.ok(isRosterKey(key));
			t.ok(Buffer.from(value).toString('base64').length <= 65_536);
		}

		const decoded = [...encoded.values()].flatMap(
			(value) => JSON.parse(value) as typeof roster,
		);
		t.same(
			new Set(decoded.map(({id}) => id)),
			new Set(roster.map(({id}) => id)),
		);
		t.equal(decoded.length, count);
	});
}

tap.t.test('a change rewrites the rows that it touches', async (t) => {
	const roster = createRoster(700);
	const stored = encodeRoster(roster);
	const changed = roster.with(3, {...roster[3]!, isDraining: true});
	const {puts, removes} = planRosterWrites(part, stored, encodeRoster(changed));
	t.equal(puts.length, 1);
	t.same(removes, []);
});

tap.t.test('rows that a smaller roster lacks are removed', async (t) => {
	const stored = new Map(
		[...encodeRoster(createRoster(700)).keys()].map((key) => [key, undefined]),
	);
	const {puts, removes} = planRosterWrites(
		part,
		stored,
		encodeRoster(createRoster(9)),
	);
	t.same(
		puts.map(({key}) => key),
		['roster'],
	);
	t.equal(removes.length, stored.size - 1);
});

tap.t.test('keys of other rows are not of the roster', async (t) => {
	t.notOk(isRosterKey('flush'));
	t.notOk(isRosterKey('rosters'));
});

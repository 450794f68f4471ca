import * as fc from 'fast-check';
import * as tap from 'tap';
import * as groups from './group-commit.js';

type Entry = groups.GroupEntry & {readonly hasConflict: boolean};

const createEntry = (key: string, bytes = 1, hasConflict = false): Entry => ({
	key,
	bytes,
	hasConflict,
});
const limits = {maxRows: 3, maxBytes: 10};

const table: Array<[string, Entry[], string[], string[]]> = [
	['nothing', [], [], []],
	[
		'up to maxRows',
		['a', 'b', 'c', 'd'].map((key) => createEntry(key)),
		['a', 'b', 'c'],
		['d'],
	],
	[
		'up to maxBytes',
		[createEntry('a', 6), createEntry('b', 5), createEntry('c', 4)],
		['a', 'c'],
		['b'],
	],
	[
		'a write above maxBytes',
		[createEntry('a', 11), createEntry('b', 1)],
		['a'],
		['b'],
	],
	[
		'two writes of one key',
		[createEntry('a'), createEntry('a'), createEntry('b')],
		['a', 'b'],
		['a'],
	],
];

for (const [name, entries, selected, remaining] of table) {
	tap.t.test(`group: ${name}`, async (t) => {
		const group = groups.selectGroup(entries, limits);
		t.same(
			group.selected.map(({key}) => key),
			selected,
		);
		t.same(
			group.remaining.map(({key}) => key),
			remaining,
		);
	});
}

type Cost = {commits: number; depth: number; committed: string[]};

/** Commits to a store that reports only the first conflict. */
const commitAll = (entries: readonly Entry[], conflicts = 0): Cost => {
	const conflicting = entries.find(({hasConflict}) => hasConflict);
	if (conflicting === undefined) {
		return {commits: 1, depth: 1, committed: entries.map(({key}) => key)};
	}

	const rest = groups
		.regroupAfterConflict(entries, conflicting.key, conflicts)
		.map((group) => commitAll(group, conflicts + 1));
	return {
		commits: 1 + rest.reduce((sum, {commits}) => sum + commits, 0),
		depth: 1 + Math.max(0, ...rest.map(({depth}) => depth)),
		committed: rest.flatMap(({committed}) => committed),
	};
};

tap.t.test('one conflict never fails another key', async (t) => {
	const property = fc.property(
		fc.array(fc.boolean(), {minLength: 1, maxLength: 100}),
		(conflictFlags) => {
			const entries = conflictFlags.map((hasConflict, index) =>
				createEntry(String(index), 1, hasConflict),
			);
			const cost = commitAll(entries);
			const succeeding = entries.filter(({hasConflict}) => !hasConflict);
			const conflictCount = entries.length - succeeding.length;
			const committed = cost.committed.map(Number).sort((a, b) => a - b);
			const isIsolated =
				JSON.stringify(committed) ===
				JSON.stringify(succeeding.map(({key}) => Number(key)));
			return (
				isIsolated &&
				cost.commits <= 2 * conflictCount + 1 &&
				cost.depth <= 3 + Math.log2(entries.length)
			);
		},
	);
	t.doesNotThrow(() => {
		fc.assert(property, {seed: 3, numRuns: 500});
	});
});

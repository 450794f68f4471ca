import * as fc from 'fast-check';
import * as tap from 'tap';
import * as groups from './group-commit.js';

type Entry = groups.GroupEntry & {readonly isLoser: boolean};

const entry = (key: string, bytes = 1, isLoser = false): Entry => ({
	key,
	bytes,
	isLoser,
});
const limits = {maxRows: 3, maxBytes: 10};

const table: Array<[string, Entry[], string[], string[]]> = [
	['nothing', [], [], []],
	[
		'up to the rows',
		['a', 'b', 'c', 'd'].map((key) => entry(key)),
		['a', 'b', 'c'],
		['d'],
	],
	[
		'up to the bytes',
		[entry('a', 6), entry('b', 5), entry('c', 4)],
		['a', 'c'],
		['b'],
	],
	['one above the bytes', [entry('a', 11), entry('b', 1)], ['a'], ['b']],
	['a key twice', [entry('a'), entry('a'), entry('b')], ['a', 'b'], ['a']],
];

for (const [name, entries, taken, left] of table) {
	tap.t.test(`group: ${name}`, async (t) => {
		const group = groups.selectGroup(entries, limits);
		t.same(
			group.selected.map(({key}) => key),
			taken,
		);
		t.same(
			group.remaining.map(({key}) => key),
			left,
		);
	});
}

type Cost = {commits: number; depth: number; committed: string[]};

/** Commits as a store does that names the first conflict it finds. */
const commitAll = (entries: readonly Entry[], conflicts = 0): Cost => {
	const loser = entries.find(({isLoser}) => isLoser);
	if (loser === undefined) {
		return {commits: 1, depth: 1, committed: entries.map(({key}) => key)};
	}

	const rest = groups
		.regroupAfterConflict(entries, loser.key, conflicts)
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
		(losers) => {
			const entries = losers.map((isLoser, index) =>
				entry(String(index), 1, isLoser),
			);
			const cost = commitAll(entries);
			const winners = entries.filter(({isLoser}) => !isLoser);
			const losses = entries.length - winners.length;
			const committed = cost.committed.map(Number).sort((a, b) => a - b);
			const isIsolated =
				JSON.stringify(committed) ===
				JSON.stringify(winners.map(({key}) => Number(key)));
			return (
				isIsolated &&
				cost.commits <= 2 * losses + 1 &&
				cost.depth <= 3 + Math.log2(entries.length)
			);
		},
	);
	t.doesNotThrow(() => {
		fc.assert(property, {seed: 3, numRuns: 500});
	});
});

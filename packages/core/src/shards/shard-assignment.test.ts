import * as tap from 'tap';
import {assignShards, getShardDuty} from './shard-assignment.js';

const makeNames = (prefix: string, count: number) =>
	Array.from({length: count}, (_, index) => `${prefix}${index}`);

const countLoads = (assigned: ReadonlyMap<string, string>) => {
	const loads = new Map<string, number>();
	for (const entry of assigned.values()) {
		loads.set(entry, (loads.get(entry) ?? 0) + 1);
	}

	return loads;
};

for (const [shards, entries] of [
	[5, 9],
	[40, 9],
	[9, 9],
	[7, 1],
] as const) {
	tap.t.test(`${shards} shards over ${entries} entries`, async (t) => {
		const names = makeNames('s', shards);
		const assigned = assignShards(names, makeNames('e', entries));
		t.equal(assigned.size, shards);
		const most = Math.max(...countLoads(assigned).values());
		t.ok(most <= Math.ceil(shards / entries));
		const reversed = makeNames('e', entries).toReversed();
		t.same(assignShards(names.toReversed(), reversed), assigned);
	});
}

tap.t.test('few shards change hands when an entry goes', async (t) => {
	const names = makeNames('s', 45);
	const before = assignShards(names, makeNames('e', 9));
	const after = assignShards(names, makeNames('e', 8));
	const moved = names.filter(
		(shard) =>
			before.get(shard) !== 'e8' && before.get(shard) !== after.get(shard),
	);
	t.ok(moved.length < 20, `${moved.length} of 40 moved`);
});

const duties = [
	['e1', true, 'keep'],
	['e1', false, 'acquire'],
	['e2', true, 'release'],
	['e2', false, 'none'],
	[undefined, true, 'none'],
] as const;

for (const [entry, isHeld, duty] of duties) {
	tap.t.test(`duty ${duty}, assigned to ${entry}`, async (t) => {
		const assigned = new Map(entry ? [['s', entry]] : []);
		t.equal(getShardDuty('s', 'e1', isHeld, assigned), duty);
	});
}

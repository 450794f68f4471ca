import * as tap from 'tap';
import * as powerOfTwo from './power-of-two.js';
import * as rendezvous from './rendezvous.js';
import * as unresponsiveMembers from './unresponsive-members.js';
import * as staticShare from './static-share.js';

const getEntries = (count: number) =>
	Array.from({length: count}, (_, index) => `entry-${index}`);

const shareTable: Array<[entries: number, slots: number, fraction: number]> = [
	[1, 8, 1],
	[2, 8, 1],
	[8, 8, 1],
	[9, 8, 1],
	[11, 8, 1],
	[9, 8, 0.25],
	[9, 0, 1],
];

for (const [count, slots, fraction] of shareTable) {
	const name = `${count} entries share ${slots} slots, part ${fraction}`;
	tap.t.test(name, async (t) => {
		const entries = getEntries(count);
		for (let each = 0; each < 50; each++) {
			const executor = `executor-${each}`;
			const shares = entries.map(
				(entry) =>
					staticShare
						.getStaticShares(
							new Map([[executor, slots]]),
							entries,
							entry,
							fraction,
						)
						.get(executor) ?? 0,
			);
			const sum = shares.reduce((total, share) => total + share);
			t.equal(sum, Math.floor(slots * fraction));
			t.ok(Math.max(...shares) - Math.min(...shares) <= 1);
		}
	});
}

tap.t.test('an entry that is not listed has no share', async (t) => {
	t.equal(staticShare.getStaticShare('a', 8, getEntries(3), 'other'), 0);
});

tap.t.test('removing a member moves only its keys', async (t) => {
	const before = getEntries(9);
	const after = before.filter((entry) => entry !== 'entry-4');
	let moved = 0;
	for (let key = 0; key < 1000; key++) {
		const picked = rendezvous.pickMember(`pool-${key}`, before);
		if (picked === 'entry-4') {
			moved++;
		} else {
			t.equal(rendezvous.pickMember(`pool-${key}`, after), picked);
		}
	}

	t.ok(moved > 70 && moved < 160, `${moved} of 1000 moved`);
	t.equal(rendezvous.pickMember('pool', []), undefined);
});

const connectionTable: Array<[entries: number, replaced: number]> = [
	[1, 0],
	[2, 1],
	[8, 4],
	[9, 2],
	[9, 5],
	[16, 8],
];

for (const [count, replaced] of connectionTable) {
	const name = `${count} entries, ${replaced} replaced, stay within 64 connections`;
	tap.t.test(name, async (t) => {
		const spare = staticShare.getConnectionLimit(64, 8, count, 0);
		t.ok(spare >= 1);
		t.ok(spare * (count + replaced) + 8 <= 64);
		t.equal(staticShare.getConnectionLimit(64, 8, count, 3), spare + 3);
	});
}

const createLoad = (executor: string, inFlight: number, weight = 1) => ({
	executor,
	slots: 8,
	inFlight,
	weight,
});

const pickTable: Array<
	[string, powerOfTwo.ExecutorLoad[], [number, number], string | undefined]
> = [
	[
		'the executor with less load',
		[createLoad('a', 5), createLoad('b', 2)],
		[0, 0.9],
		'b',
	],
	[
		'by load relative to weight',
		[createLoad('a', 5), createLoad('b', 2, 0.1)],
		[0, 0.9],
		'a',
	],
	[
		'no executor without a free slot',
		[createLoad('a', 8), createLoad('b', 9)],
		[0, 0.9],
		undefined,
	],
	[
		'only drawn executors',
		[createLoad('a', 7), createLoad('b', 0)],
		[0, 0.1],
		'a',
	],
	[
		'no executor of weight 0',
		[createLoad('a', 0, 0), createLoad('b', 3)],
		[0, 0],
		'b',
	],
	['nothing without executors', [], [0, 0], undefined],
];

for (const [name, loads, draws, picked] of pickTable) {
	tap.t.test(`power of two choices picks ${name}`, async (t) => {
		t.equal(powerOfTwo.pickOfTwo(loads, draws), picked);
	});
}

tap.t.test(
	'a listed entry is unresponsive only after the timeout',
	async (t) => {
		const lastContactAt: unresponsiveMembers.LastContactAt = new Map([
			['a', 0],
		]);
		const at = (now: number) => [
			...unresponsiveMembers.getUnresponsiveMembers(
				lastContactAt,
				['a', 'b'],
				now,
				250,
			),
		];
		t.same(at(100), []);
		t.same(at(300), ['a']);
		t.same(at(351), ['a', 'b']);
		lastContactAt.set('a', 350);
		t.same(at(352), ['b']);
	},
);

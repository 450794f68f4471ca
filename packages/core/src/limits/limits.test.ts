import * as tap from 'tap';
import * as powerOfTwo from './power-of-two.js';
import * as rendezvous from './rendezvous.js';
import * as silence from './unresponsive-members.js';
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

tap.t.test('a lost member moves only its own keys', async (t) => {
	const before = getEntries(9);
	const after = before.filter((entry) => entry !== 'entry-4');
	let moved = 0;
	for (let key = 0; key < 1000; key++) {
		const home = rendezvous.pickMember(`pool-${key}`, before);
		if (home === 'entry-4') {
			moved++;
		} else {
			t.equal(rendezvous.pickMember(`pool-${key}`, after), home);
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
	const name = `${count} entries, ${replaced} replaced, keep 64 connections`;
	tap.t.test(name, async (t) => {
		const spare = staticShare.getConnectionLimit(64, 8, count, 0);
		t.ok(spare >= 1);
		t.ok(spare * (count + replaced) + 8 <= 64);
		t.equal(staticShare.getConnectionLimit(64, 8, count, 3), spare + 3);
	});
}

const load = (executor: string, inFlight: number, weight = 1) => ({
	executor,
	slots: 8,
	inFlight,
	weight,
});

const twoTable: Array<
	[string, powerOfTwo.ExecutorLoad[], [number, number], string | undefined]
> = [
	['the less loaded', [load('a', 5), load('b', 2)], [0, 0.9], 'b'],
	['by weight', [load('a', 5), load('b', 2, 0.1)], [0, 0.9], 'a'],
	['none that is full', [load('a', 8), load('b', 9)], [0, 0.9], undefined],
	['only the drawn', [load('a', 7), load('b', 0)], [0, 0.1], 'a'],
	['none of weight 0', [load('a', 0, 0), load('b', 3)], [0, 0], 'b'],
	['none of none', [], [0, 0], undefined],
];

for (const [name, loads, draws, picked] of twoTable) {
	tap.t.test(`power of two choices takes ${name}`, async (t) => {
		t.equal(powerOfTwo.pickOfTwo(loads, draws), picked);
	});
}

tap.t.test('a listed entry is silent only after a while', async (t) => {
	const heardAt: silence.LastContactAt = new Map([['a', 0]]);
	const at = (now: number) => [
		...silence.getUnresponsiveMembers(heardAt, ['a', 'b'], now, 250),
	];
	t.same(at(100), []);
	t.same(at(300), ['a']);
	t.same(at(351), ['a', 'b']);
	heardAt.set('a', 350);
	t.same(at(352), ['b']);
});

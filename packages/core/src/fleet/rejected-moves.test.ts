import * as tap from 'tap';
import * as fleet from './index.js';

type Case = {
	readonly name: string;
	/** When the move is rejected, in milliseconds. */
	readonly rejectedAt: readonly number[];
	readonly now: number;
	readonly isRejected: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a rejected move is not planned',
		rejectedAt: [0],
		now: 4999,
		isRejected: true,
	},
	{
		name: 'it is tried again after a pause',
		rejectedAt: [0],
		now: 5000,
		isRejected: false,
	},
	{
		name: 'the pause doubles',
		rejectedAt: [0, 5000],
		now: 14_999,
		isRejected: true,
	},
	{
		name: 'the doubled pause ends',
		rejectedAt: [0, 5000],
		now: 15_000,
		isRejected: false,
	},
	{
		name: 'the pause has an upper limit',
		rejectedAt: [0, 5000, 15_000, 35_000, 75_000, 135_000],
		now: 195_000,
		isRejected: false,
	},
	{
		name: 'the pause starts anew long after a rejection',
		rejectedAt: [0, 65_000],
		now: 70_000,
		isRejected: false,
	},
];

for (const {name, rejectedAt, now, isRejected} of cases) {
	tap.t.test(name, async (t) => {
		const move = {machine: 'a', to: 'p'};
		let rejected: fleet.RejectedMoves = new Map();
		for (const at of rejectedAt) {
			rejected = fleet.recordRejectedMove(rejected, move, at);
		}

		t.equal(fleet.isMoveRejected(rejected, 'a', 'p', now), isRejected);
		t.notOk(fleet.isMoveRejected(rejected, 'a', 'q', now));
		t.notOk(fleet.isMoveRejected(rejected, 'b', 'p', now));
	});
}

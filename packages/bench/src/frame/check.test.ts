import * as tap from 'tap';
import {check} from './check.js';
import {createRandom} from './random.js';
import type {Comparison} from './types.js';

const table: Array<[number, Comparison, number, boolean]> = [
	[1, '<=', 1, true],
	[1.1, '<=', 1, false],
	[1, '>=', 1, true],
	[0.9, '>=', 1, false],
	[0, '==', 0, true],
	[1, '==', 0, false],
	[Number.NaN, '<=', 1, false],
	[Number.POSITIVE_INFINITY, '>=', 1, false],
];

for (const [value, comparison, bound, holds] of table) {
	tap.t.test(`${value} ${comparison} ${bound}`, async (t) => {
		t.equal(check('x', value, comparison, bound).holds, holds);
	});
}

tap.t.test('generators of one seed give equal numbers in [0, 1)', async (t) => {
	const [one, two] = [createRandom(7), createRandom(7)];
	const drawn = Array.from({length: 1000}, () => one());
	t.same(
		drawn,
		Array.from({length: 1000}, () => two()),
	);
	t.ok(drawn.every((each) => each >= 0 && each < 1));
	t.ok(Math.abs(drawn.reduce((sum, each) => sum + each) / 1000 - 0.5) < 0.05);
});

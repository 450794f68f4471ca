import * as tap from 'tap';
import {getPlanPauseMs} from './plan-pause.js';

const cases = [
	{tookMs: 0, pauseMs: 10},
	{tookMs: 2, pauseMs: 10},
	{tookMs: 5, pauseMs: 20},
	{tookMs: 40, pauseMs: 160},
	{tookMs: 500, pauseMs: 200},
];

for (const {tookMs, pauseMs} of cases) {
	tap.t.test(`the pause after a plan of ${tookMs} ms`, async (t) => {
		t.equal(getPlanPauseMs(tookMs), pauseMs);
	});
}

import * as tap from 'tap';
import {createPause} from './pause.js';

/** Longer than any test may take, in milliseconds. */
const never = 2_000_000_000;

const cases = [
	{name: 'its time is over', ms: 1, isEnded: false},
	{name: 'it is ended before its time', ms: never, isEnded: true},
	{name: 'it has no time and is ended', ms: undefined, isEnded: true},
];

for (const {name, ms, isEnded} of cases) {
	tap.t.test(name, async (t) => {
		const pause = createPause();
		pause.end();
		const waited = pause.wait(ms);
		if (isEnded) {
			pause.end();
		}

		await waited;
		const again = pause.wait(1);
		await again;
		t.pass('it can be taken again');
	});
}

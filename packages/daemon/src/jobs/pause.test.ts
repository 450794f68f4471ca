import * as tap from 'tap';
import {createPause} from './pause.js';

/** Longer than any test runs, in milliseconds. */
const never = 2_000_000_000;

const cases = [
	{name: 'a wait ends after its time', ms: 1, isEnded: false},
	{name: 'a wait is ended early', ms: never, isEnded: true},
	{name: 'a wait without a time is ended', ms: undefined, isEnded: true},
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
		t.pass('the pause can be used again');
	});
}

/**
 * Answers that take 200 ms however few starts are under way say nothing of a
 * full link or processor: they come from far, or from executors that are slow.
 * A window that shrinks for them lets 20 starts a second through, and stays
 * there.
 */
import * as tap from 'tap';
import * as window from './start-window.js';

const cases = [
	{name: 'answers after 20 ms', answerMs: 20},
	{name: 'answers after 140 ms', answerMs: 140},
	{name: 'answers after 200 ms', answerMs: 200},
	{name: 'answers after 400 ms', answerMs: 400},
];

/** Starts in 20 s, with as many under way as are allowed. */
const countStarts = (answerMs: number): number => {
	let current = window.initialStartWindow;
	let underWay: number[] = [];
	let starts = 0;
	for (let now = 0; now < 20_000; now += 10) {
		const answered = underWay.filter((askedAt) => askedAt + answerMs <= now);
		underWay = underWay.filter((askedAt) => askedAt + answerMs > now);
		for (const askedAt of answered) {
			current = window.recordStartOutcome(
				current,
				{askedAt, isAnswered: true},
				now,
			);
		}

		const free = window.countAvailableStarts(current, underWay.length);
		starts += free;
		underWay.push(...Array.from({length: free}, () => now));
	}

	return starts;
};

for (const {name, answerMs} of cases) {
	tap.t.test(`the window beside ${name} at any load`, async (t) => {
		const starts = countStarts(answerMs);
		t.ok(starts >= 20 * 75, `${starts} starts in 20 s`);
	});
}

/**
 * Guards against a window that shrinks for good because executors are distant
 * or slow, although no queueing delays their answers.
 */
import * as tap from 'tap';
import * as window from './start-window.js';

const cases = [
	{name: 'answers after 20 ms', answerMs: 20},
	{name: 'answers after 140 ms', answerMs: 140},
	{name: 'answers after 200 ms', answerMs: 200},
	{name: 'answers after 400 ms', answerMs: 400},
];

/** Counts the starts in 20 s with as many in flight as the window allows. */
const countStarts = (answerMs: number): number => {
	let current = window.initialStartWindow;
	let inFlight: number[] = [];
	let starts = 0;
	for (let now = 0; now < 20_000; now += 10) {
		const answered = inFlight.filter((askedAt) => askedAt + answerMs <= now);
		inFlight = inFlight.filter((askedAt) => askedAt + answerMs > now);
		for (const askedAt of answered) {
			current = window.recordStartOutcome(
				current,
				{askedAt, isAnswered: true},
				now,
			);
		}

		const free = window.countAvailableStarts(current, inFlight.length);
		starts += free;
		inFlight.push(...Array.from({length: free}, () => now));
	}

	return starts;
};

for (const {name, answerMs} of cases) {
	tap.t.test(`the window allows enough starts with ${name}`, async (t) => {
		const starts = countStarts(answerMs);
		t.ok(starts >= 20 * 75, `${starts} starts in 20 s`);
	});
}

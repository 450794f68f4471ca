import * as tap from 'tap';
import {
	countAvailableStarts,
	getMinPollIntervalMs,
	initialStartWindow,
	recordStartOutcome,
	type StartWindow,
} from './start-window.js';

type Outcome = {
	readonly askedAt: number;
	readonly at: number;
	readonly isAnswered?: boolean;
};

const note = (
	window: StartWindow,
	outcomes: readonly Outcome[],
): StartWindow => {
	let noted = window;
	for (const {askedAt, at, isAnswered = true} of outcomes) {
		noted = recordStartOutcome(noted, {askedAt, isAnswered}, at);
	}

	return noted;
};

const repeat = (count: number, outcome: Outcome): readonly Outcome[] =>
	Array.from({length: count}, () => outcome);

const cases = [
	{
		name: 'answers in time make it larger',
		outcomes: repeat(100, {askedAt: 0, at: 10}),
		least: 60,
		most: 90,
	},
	{
		name: 'it has an upper bound',
		outcomes: repeat(100_000, {askedAt: 0, at: 10}),
		least: 256,
		most: 256,
	},
	{
		name: 'a late answer now and then changes little',
		outcomes: repeat(10, {askedAt: 0, at: 400}),
		least: 32,
		most: 32,
	},
	{
		name: 'late answers halve it once for the starts of one window',
		outcomes: repeat(32, {askedAt: 0, at: 400}),
		least: 16,
		most: 16,
	},
	{
		name: 'so do starts without an answer',
		outcomes: repeat(32, {askedAt: 0, at: 600, isAnswered: false}),
		least: 16,
		most: 16,
	},
	{
		name: 'late answers to starts sent since halve it again',
		outcomes: [
			...repeat(32, {askedAt: 0, at: 400}),
			...repeat(16, {askedAt: 401, at: 800}),
		],
		least: 8,
		most: 8,
	},
	{
		name: 'it has a lower bound',
		outcomes: Array.from({length: 200}, (_, turn) => ({
			askedAt: turn * 1000,
			at: turn * 1000 + 600,
			isAnswered: false,
		})),
		least: 4,
		most: 4,
	},
	{
		name: 'a rack that is dark, among executors that answer',
		outcomes: Array.from({length: 400}, (_, turn) =>
			turn % 8 === 0
				? {askedAt: 0, at: 600, isAnswered: false}
				: {askedAt: 0, at: 10},
		),
		least: 100,
		most: 256,
	},
];

for (const {name, outcomes, least, most} of cases) {
	tap.t.test(name, async (t) => {
		const {size} = note(initialStartWindow, outcomes);
		t.ok(size >= least && size <= most, `${size}`);
	});
}

tap.t.test('starts under way take their part of it', async (t) => {
	t.equal(countAvailableStarts(initialStartWindow, 0), 32);
	t.equal(countAvailableStarts(initialStartWindow, 30), 2);
	t.equal(countAvailableStarts(initialStartWindow, 40), 0);
});

type Gap = {
	readonly name: string;
	readonly tookMs: readonly number[];
	readonly unansweredMs?: readonly number[];
	readonly least: number;
	readonly most: number;
};

const gaps: readonly Gap[] = [
	{name: 'nothing was asked yet', tookMs: [], least: 0, most: 0},
	{name: 'quick answers', tookMs: [3, 5, 4], least: 0, most: 2},
	{
		name: 'slow answers',
		tookMs: Array.from({length: 60}, () => 120),
		least: 100,
		most: 120,
	},
	{
		name: 'very slow ones',
		tookMs: Array.from({length: 200}, () => 600),
		least: 250,
		most: 250,
	},
	{
		name: 'none from executors that are dark',
		tookMs: [],
		unansweredMs: Array.from({length: 32}, () => 600),
		least: 0,
		most: 0,
	},
	{
		name: 'quick ones again',
		tookMs: [
			...Array.from({length: 200}, () => 600),
			...Array.from({length: 200}, () => 5),
		],
		least: 0,
		most: 6,
	},
];

for (const {name, tookMs, unansweredMs = [], least, most} of gaps) {
	tap.t.test(`the gap between looks: ${name}`, async (t) => {
		const outcomes = [
			...tookMs.map((at) => ({askedAt: 0, at})),
			...unansweredMs.map((at) => ({askedAt: 0, at, isAnswered: false})),
		];
		const gapMs = getMinPollIntervalMs(note(initialStartWindow, outcomes));
		t.ok(gapMs >= least && gapMs <= most, `${gapMs}`);
	});
}

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

const applyOutcomes = (
	window: StartWindow,
	outcomes: readonly Outcome[],
): StartWindow => {
	let current = window;
	for (const {askedAt, at, isAnswered = true} of outcomes) {
		current = recordStartOutcome(current, {askedAt, isAnswered}, at);
	}

	return current;
};

const repeat = (count: number, outcome: Outcome): readonly Outcome[] =>
	Array.from({length: count}, () => outcome);

const cases = [
	{
		name: 'answers in time enlarge it',
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
		name: 'a few late answers do not reduce it',
		outcomes: repeat(10, {askedAt: 0, at: 400}),
		least: 32,
		most: 32,
	},
	{
		name: 'late answers to the starts of one window halve it once',
		outcomes: repeat(32, {askedAt: 0, at: 400}),
		least: 16,
		most: 16,
	},
	{
		name: 'unanswered starts halve it too',
		outcomes: repeat(32, {askedAt: 0, at: 600, isAnswered: false}),
		least: 16,
		most: 16,
	},
	{
		name: 'late answers to later starts halve it again',
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
		name: 'unanswered starts of one failed rack do not reduce it',
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
		const {size} = applyOutcomes(initialStartWindow, outcomes);
		t.ok(size >= least && size <= most, `${size}`);
	});
}

tap.t.test('starts in flight use up the window', async (t) => {
	t.equal(countAvailableStarts(initialStartWindow, 0), 32);
	t.equal(countAvailableStarts(initialStartWindow, 30), 2);
	t.equal(countAvailableStarts(initialStartWindow, 40), 0);
});

type IntervalCase = {
	readonly name: string;
	readonly tookMs: readonly number[];
	readonly unansweredMs?: readonly number[];
	readonly least: number;
	readonly most: number;
};

const intervalCases: readonly IntervalCase[] = [
	{name: 'no answers yet', tookMs: [], least: 0, most: 0},
	{name: 'quick answers', tookMs: [3, 5, 4], least: 0, most: 2},
	{
		name: 'slow answers',
		tookMs: Array.from({length: 60}, () => 120),
		least: 100,
		most: 120,
	},
	{
		name: 'very slow answers',
		tookMs: Array.from({length: 200}, () => 600),
		least: 250,
		most: 250,
	},
	{
		name: 'timeouts only',
		tookMs: [],
		unansweredMs: Array.from({length: 32}, () => 600),
		least: 0,
		most: 0,
	},
	{
		name: 'quick answers after slow ones',
		tookMs: [
			...Array.from({length: 200}, () => 600),
			...Array.from({length: 200}, () => 5),
		],
		least: 0,
		most: 6,
	},
];

for (const {name, tookMs, unansweredMs = [], least, most} of intervalCases) {
	tap.t.test(`the minimum poll interval: ${name}`, async (t) => {
		const outcomes = [
			...tookMs.map((at) => ({askedAt: 0, at})),
			...unansweredMs.map((at) => ({askedAt: 0, at, isAnswered: false})),
		];
		const intervalMs = getMinPollIntervalMs(
			applyOutcomes(initialStartWindow, outcomes),
		);
		t.ok(intervalMs >= least && intervalMs <= most, `${intervalMs}`);
	});
}

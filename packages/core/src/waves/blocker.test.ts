import * as tap from 'tap';
import {createLedger, type CombinedTerms} from '../budget/index.js';
import * as waves from './index.js';

const hourMs = 3_600_000;
const terms: CombinedTerms = {
	keepExecutors: 1,
	keepExecutorsFor: 'harrowby',
	maxAway: 2,
	maxAwayFor: 'isarwelle',
};

const createFacts = (each: CombinedTerms): waves.WaveFacts => ({
	instances: new Map(),
	ledgers: new Map([
		['quote', createLedger('quote', each, ['a', 'b', 'c', 'd'])],
	]),
	servicesByPool: new Map([['quote', ['quote']]]),
	reserves: new Map(),
});

const blockerTable: Array<
	[string, Partial<CombinedTerms>, number, string, string]
> = [
	['no blocker', {}, 1, '', ''],
	['maxAway is 0', {maxAway: 0}, 1, 'never-allowed', 'isarwelle'],
	[
		'keepExecutors covers all executors',
		{keepExecutors: 4},
		1,
		'never-allowed',
		'harrowby',
	],
	['time for one of two rounds', {maxAway: 2}, 0.3, 'too-slow', 'isarwelle'],
	[
		'time for three of four rounds',
		{keepExecutors: 3},
		0.8,
		'too-slow',
		'harrowby',
	],
];

for (const [name, change, hours, kind, customer] of blockerTable) {
	tap.t.test(`blocker: ${name}`, async (t) => {
		const [blocker] = waves.findBlockers(
			{
				pools: ['quote'],
				settings: waves.waveDefaults,
				untilDeadlineMs: hours * hourMs,
				sizes: new Map([['quote', 4]]),
			},
			createFacts({...terms, ...change}),
		);
		t.equal(blocker?.kind ?? '', kind);
		t.match(blocker ?? {customer}, {customer});
	});
}

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

const obstacleTable: Array<
	[string, Partial<CombinedTerms>, number, string, string]
> = [
	['possible', {}, 1, '', ''],
	['maxAway is 0', {maxAway: 0}, 1, 'never-allowed', 'isarwelle'],
	['all are kept', {keepExecutors: 4}, 1, 'never-allowed', 'harrowby'],
	['two rounds in one', {maxAway: 2}, 0.3, 'too-slow', 'isarwelle'],
	['one at a time', {keepExecutors: 3}, 0.8, 'too-slow', 'harrowby'],
];

for (const [name, change, hours, kind, customer] of obstacleTable) {
	tap.t.test(`obstacle: ${name}`, async (t) => {
		const [found] = waves.findBlockers(
			{
				pools: ['quote'],
				settings: waves.waveDefaults,
				untilDeadlineMs: hours * hourMs,
				sizes: new Map([['quote', 4]]),
			},
			createFacts({...terms, ...change}),
		);
		t.equal(found?.kind ?? '', kind);
		t.match(found ?? {customer}, {customer});
	});
}

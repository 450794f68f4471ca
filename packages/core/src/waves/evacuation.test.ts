import * as fc from 'fast-check';
import * as tap from 'tap';
import {createJob, hourMs, weights} from './step.test.fixture.js';
import * as waves from './index.js';

const evacuationTable: Array<{
	name: string;
	input: Partial<waves.EvacuationInput>;
	moves: string[];
	waitHours: number;
}> = [
	{name: 'no jobs', input: {jobs: []}, moves: [], waitHours: 0},
	{
		name: 'short jobs run out',
		input: {jobs: [createJob('a', 0.2), createJob('b', 0.1)]},
		moves: [],
		waitHours: 0.2,
	},
	{
		name: 'a long job moves, a short one runs out',
		input: {jobs: [createJob('long', 30), createJob('short', 0.2)]},
		moves: ['long'],
		waitHours: 0.2,
	},
	{
		name: 'moves that cost nothing are made at once',
		input: {
			jobs: [createJob('a', 0.2)],
			weights: {...weights, moves: 0},
		},
		moves: ['a'],
		waitHours: 0,
	},
	{
		name: 'one that may not move is waited for, and others with it',
		input: {jobs: [createJob('fixed', 5, 'none'), createJob('b', 4)]},
		moves: [],
		waitHours: 5,
	},
	{
		name: 'a restart costs the work that it repeats',
		input: {
			jobs: [
				{...createJob('old', 8, 'restart'), elapsedMs: 100 * hourMs},
				createJob('other', 8),
			],
			weights: {...weights, bufferCoreHours: 0.02},
		},
		moves: [],
		waitHours: 8,
	},
	{
		name: 'past the deadline it moves however long it may wait',
		input: {jobs: [createJob('a', 1)], untilDeadlineMs: 0.5 * hourMs},
		moves: ['a'],
		waitHours: 0,
	},
	{
		name: 'a wait that has cost the move ends, whatever is estimated',
		input: {jobs: [createJob('a', 0.1)], waitedMs: 10 * hourMs},
		moves: ['a'],
		waitHours: 0,
	},
];

for (const {name, input, moves, waitHours} of evacuationTable) {
	tap.t.test(`evacuation: ${name}`, async (t) => {
		const result = waves.planEvacuation({
			cores: 8,
			jobs: [],
			weights,
			waitedMs: 0,
			untilDeadlineMs: 24 * hourMs,
			...input,
		});
		t.same(
			result.moves.map(({id}) => id),
			moves,
		);
		t.equal(result.waitMs, waitHours * hourMs);
	});
}

tap.t.test('evacuation: no other wait costs less', async (t) => {
	const jobs = fc.array(
		fc.record({
			cores: fc.integer({min: 1, max: 3}),
			hours: fc.integer({min: 0, max: 12}),
		}),
		{maxLength: 6},
	);
	const property = fc.property(jobs, fc.nat(20), (drawn, moveTenths) => {
		const input = {
			cores: 18,
			jobs: drawn.map(({cores, hours}, index) => ({
				...createJob(`j${index}`, hours),
				cores,
			})),
			weights: {...weights, moves: moveTenths / 10},
			waitedMs: 0,
			untilDeadlineMs: 24 * hourMs,
		};
		const best = waves.planEvacuation(input);
		return [0, ...drawn.map(({hours}) => hours)].every((hours) => {
			const left = input.jobs.filter((job) => job.remainingMs > hours * hourMs);
			const busy = drawn
				.filter((each) => each.hours <= hours)
				.reduce((sum, each) => sum + each.cores * each.hours, 0);
			const idle = Math.max(0, 18 * hours - busy);
			const cost =
				left.length * input.weights.moves + 0.01 * idle + 0.1 * hours;
			return best.cost <= cost + 1e-9;
		});
	});
	fc.assert(property, {seed: 3, numRuns: 500});
	t.pass();
});

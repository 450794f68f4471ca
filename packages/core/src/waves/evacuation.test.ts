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
		name: 'waits for short jobs',
		input: {jobs: [createJob('a', 0.2), createJob('b', 0.1)]},
		moves: [],
		waitHours: 0.2,
	},
	{
		name: 'moves a long job and waits for a short one',
		input: {jobs: [createJob('long', 30), createJob('short', 0.2)]},
		moves: ['long'],
		waitHours: 0.2,
	},
	{
		name: 'moves at once if moves cost nothing',
		input: {
			jobs: [createJob('a', 0.2)],
			weights: {...weights, moves: 0},
		},
		moves: ['a'],
		waitHours: 0,
	},
	{
		name: 'waits for an immovable job and for others that end before it',
		input: {jobs: [createJob('fixed', 5, 'none'), createJob('b', 4)]},
		moves: [],
		waitHours: 5,
	},
	{
		name: 'counts repeated work as a cost of a restart',
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
		name: 'moves jobs that would end after the deadline',
		input: {jobs: [createJob('a', 1)], untilDeadlineMs: 0.5 * hourMs},
		moves: ['a'],
		waitHours: 0,
	},
	{
		name: 'moves once the wait has cost as much as the move',
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

tap.t.test('evacuation: no other waiting time costs less', async (t) => {
	const jobs = fc.array(
		fc.record({
			cores: fc.integer({min: 1, max: 3}),
			hours: fc.integer({min: 0, max: 12}),
		}),
		{maxLength: 6},
	);
	const property = fc.property(jobs, fc.nat(20), (jobSpecs, moveTenths) => {
		const input = {
			cores: 18,
			jobs: jobSpecs.map(({cores, hours}, index) => ({
				...createJob(`j${index}`, hours),
				cores,
			})),
			weights: {...weights, moves: moveTenths / 10},
			waitedMs: 0,
			untilDeadlineMs: 24 * hourMs,
		};
		const best = waves.planEvacuation(input);
		return [0, ...jobSpecs.map(({hours}) => hours)].every((hours) => {
			const moved = input.jobs.filter(
				(job) => job.remainingMs > hours * hourMs,
			);
			const busy = jobSpecs
				.filter((each) => each.hours <= hours)
				.reduce((sum, each) => sum + each.cores * each.hours, 0);
			const idle = Math.max(0, 18 * hours - busy);
			const cost =
				moved.length * input.weights.moves + 0.01 * idle + 0.1 * hours;
			return best.cost <= cost + 1e-9;
		});
	});
	fc.assert(property, {seed: 3, numRuns: 500});
	t.pass();
});

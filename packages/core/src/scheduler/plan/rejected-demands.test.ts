import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createStepSpec,
	createTestOwner,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';
import {
	createRejectedDemands,
	isKnownNotToFit,
	recordRejectedDemand,
} from './rejected-demands.js';

const toStep = (cpuMillis: number, memoryMb: number): scheduler.Step => {
	const owner = createTestOwner([]);
	const resources = {cpuMillis, memoryMb, accelerators: 0};
	const job = submit(owner, createAccepted('a', [{resources}]));
	return job.occurrences.get(0)!.steps[0]!;
};

// The executors have 4,000 thousandths of a core and 1,000 MB.
type Demand = readonly [cpuMillis: number, memoryMb: number];

type Case = {
	readonly rejected: Demand;
	readonly checked: Demand;
	readonly isKnown: boolean;
};

const cases: readonly Case[] = [
	{rejected: [5000, 10], checked: [5000, 10], isKnown: true},
	{rejected: [5000, 10], checked: [6000, 900], isKnown: true},
	{rejected: [5000, 10], checked: [4000, 900], isKnown: false},
	{rejected: [5000, 10], checked: [5000, 9], isKnown: false},
	{rejected: [100, 1001], checked: [100, 1001], isKnown: true},
	{rejected: [100, 1001], checked: [4000, 1000], isKnown: false},
	// The demand fits, so something else must have been the reason.
	{rejected: [100, 10], checked: [100, 10], isKnown: false},
];

for (const {rejected, checked, isKnown} of cases) {
	tap.t.test(
		`${String(rejected)} rejected, ${String(checked)} checked`,
		async (t) => {
			const owner = createTestOwner([createListed('x')]);
			const demands = createRejectedDemands();
			const usable = scheduler.listUsable(owner, 1);
			recordRejectedDemand(demands, usable, toStep(...rejected));
			t.equal(isKnownNotToFit(demands, toStep(...checked)), isKnown);
		},
	);
}

const stepArbitrary = fc.record({
	count: fc.integer({min: 1, max: 3}),
	cpuMillis: fc.integer({min: 100, max: 4500}),
	memoryMb: fc.integer({min: 10, max: 1100}),
	isLabelled: fc.boolean(),
	maxPerExecutor: fc.option(fc.constant(1), {nil: undefined}),
	isGang: fc.boolean(),
});

tap.t.test('a plan leaves no task waiting that would fit', async (t) => {
	const property = fc.property(
		fc.array(stepArbitrary, {minLength: 1, maxLength: 25}),
		(steps) => {
			const owner = createTestOwner([
				createListed('x'),
				createListed('yy', {labels: ['r1-2', 'big']}),
			]);
			for (const [index, step] of steps.entries()) {
				const {cpuMillis, memoryMb, isLabelled, ...others} = step;
				const spec = createStepSpec({
					...others,
					resources: {cpuMillis, memoryMb, accelerators: 0},
					requiredLabel: isLabelled ? 'big' : undefined,
				});
				submit(owner, createAccepted(`j${index}`, [spec]));
			}

			scheduler.planCommands(owner, 1, 1);
			const usable = scheduler.listUsable(owner, 1);
			return [...owner.openJobs]
				.flatMap((job) => [...scheduler.listTasks(job)])
				.filter((task) => scheduler.isWaiting(task))
				.filter(({step}) => !step.spec.isGang)
				.every((task) => scheduler.placeTask(usable, task).kind === 'refused');
		},
	);
	fc.assert(property, {seed: 7, numRuns: 300});
	t.pass();
});

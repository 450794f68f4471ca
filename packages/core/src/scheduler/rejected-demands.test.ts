import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	createRejectedDemands,
	isKnownNotToFit,
	recordRejectedDemand,
} from './rejected-demands.js';
import {
	createAccepted,
	createListed,
	createStepSpec,
	createTestOwner,
	submit,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const toStep = (cpuMillis: number, memoryMb: number): scheduler.Step => {
	const owner = createTestOwner([]);
	const resources = {cpuMillis, memoryMb, accelerators: 0};
	const job = submit(owner, createAccepted('a', [{resources}]));
	return job.occurrences.get(0)!.steps[0]!;
};

// The executors hold 4,000 thousandths of a core and 1,000 MB.
type Demand = readonly [cpuMillis: number, memoryMb: number];

type Case = {
	readonly refused: Demand;
	readonly asked: Demand;
	readonly isFull: boolean;
};

const cases: readonly Case[] = [
	{refused: [5000, 10], asked: [5000, 10], isFull: true},
	{refused: [5000, 10], asked: [6000, 900], isFull: true},
	{refused: [5000, 10], asked: [4000, 900], isFull: false},
	{refused: [5000, 10], asked: [5000, 9], isFull: false},
	{refused: [100, 1001], asked: [100, 1001], isFull: true},
	{refused: [100, 1001], asked: [4000, 1000], isFull: false},
	// It was refused for something other than room.
	{refused: [100, 10], asked: [100, 10], isFull: false},
];

for (const {refused, asked, isFull} of cases) {
	tap.t.test(
		`${String(refused)} refused, ${String(asked)} asked`,
		async (t) => {
			const owner = createTestOwner([createListed('x')]);
			const full = createRejectedDemands();
			const usable = scheduler.listUsable(owner, 1);
			recordRejectedDemand(full, usable, toStep(...refused));
			t.equal(isKnownNotToFit(full, toStep(...asked)), isFull);
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

tap.t.test('a plan leaves no task waiting that has room', async (t) => {
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

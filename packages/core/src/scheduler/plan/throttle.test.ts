import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	listRuns,
	pollExecutor,
	planAndStart,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

type Case = {
	readonly name: string;
	readonly tail: number;
	readonly speedLimitPercent: number;
	readonly next: number | undefined;
};

const target = 100;

const cases: readonly Case[] = [
	{name: 'over the target', tail: 120, speedLimitPercent: 100, next: 30},
	{name: 'near the target', tail: 85, speedLimitPercent: 100, next: 70},
	{name: 'well below the target', tail: 20, speedLimitPercent: 30, next: 45},
	{
		name: 'well below the target, not throttled',
		tail: 20,
		speedLimitPercent: 100,
		next: undefined,
	},
	{
		name: 'between the thresholds',
		tail: 70,
		speedLimitPercent: 50,
		next: undefined,
	},
	{
		name: 'fully throttled and still over',
		tail: 150,
		speedLimitPercent: 0,
		next: undefined,
	},
];

for (const {name, tail, speedLimitPercent, next} of cases) {
	tap.t.test(
		`throttling of tasks that use idle capacity: ${name}`,
		async (t) => {
			const owner = createTestOwner([createListed('x')]);
			submit(
				owner,
				createAccepted('s', [
					{isLongRunning: true, targetTailMs: target},
					{isLongRunning: true, fillsIdleCapacity: true},
				]),
			);
			planAndStart(owner, 0);
			const [serving, throttled] = listRuns(owner, 'x');
			pollExecutor(owner, 'x', {
				at: 10,
				running: [
					{...serving!, percent: 100, load: tail},
					{...throttled!, percent: 100, load: 500},
				],
			});
			const executor = owner.executors.get('x')!;
			for (const run of executor.runs.values()) {
				run.speedLimitPercent = speedLimitPercent;
			}

			const commands = scheduler.planThrottling(executor);
			t.same(
				commands.map(({run, percent}) => [run.task.id, percent]),
				next === undefined ? [] : [['s.0.1.0', next]],
			);
		},
	);
}

import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	listRuns,
	pollExecutor,
	planAndStart,
	submit,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

type Case = {
	readonly name: string;
	readonly tail: number;
	readonly pace: number;
	readonly next: number | undefined;
};

const target = 100;

const cases: readonly Case[] = [
	{name: 'over the target', tail: 120, pace: 100, next: 30},
	{name: 'near the target', tail: 85, pace: 100, next: 70},
	{name: 'well below the target', tail: 20, pace: 30, next: 45},
	{name: 'well below, at full pace', tail: 20, pace: 100, next: undefined},
	{name: 'in between', tail: 70, pace: 50, next: undefined},
	{name: 'stopped and still over', tail: 150, pace: 0, next: undefined},
];

for (const {name, tail, pace, next} of cases) {
	tap.t.test(`pace of tasks that fill: ${name}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		submit(
			owner,
			createAccepted('s', [
				{isLongRunning: true, targetTailMs: target},
				{isLongRunning: true, fillsIdleCapacity: true},
			]),
		);
		planAndStart(owner, 0);
		const [serving, filling] = listRuns(owner, 'x');
		pollExecutor(owner, 'x', {
			at: 10,
			running: [
				{...serving!, percent: 100, load: tail},
				{...filling!, percent: 100, load: 500},
			],
		});
		const executor = owner.executors.get('x')!;
		for (const run of executor.runs.values()) {
			run.speedLimitPercent = pace;
		}

		const orders = scheduler.planThrottling(executor);
		t.same(
			orders.map(({run, percent}) => [run.task.id, percent]),
			next === undefined ? [] : [['s.0.1.0', next]],
		);
	});
}

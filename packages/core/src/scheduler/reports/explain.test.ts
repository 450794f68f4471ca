import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const huge = {cpuMillis: 9000, memoryMb: 1, accelerators: 0};

const whole = {cpuMillis: 4000, memoryMb: 1, accelerators: 0};

type Case = {
	readonly name: string;
	readonly steps: ReadonlyArray<Partial<scheduler.StepSpec>>;
	readonly prepare?: (owner: scheduler.Owner) => void;
	readonly because: readonly RegExp[];
};

const cases: readonly Case[] = [
	{name: 'it is running', steps: [{}], because: [/run \d+ on x is running/v]},
	{
		name: 'it is running on a slow executor',
		steps: [{}],
		prepare(owner) {
			const {speed} = owner.executors.get('x')!;
			owner.speeds.decidedAt = 0;
			speed.slowSince = 0;
			speed.logSpeed = Math.log(0.2);
		},
		because: [/on x \(slow: 20 percent of the usual speed\) is running/v],
	},
	{
		name: 'an earlier step is not done',
		steps: [{}, {after: [0]}],
		because: [/on x/v, /steps 0 are not all done/v],
	},
	{
		name: 'it is too large',
		steps: [{resources: huge}],
		because: [/no executor is large enough/v],
	},
	{
		name: 'all executors are full',
		steps: [{resources: whole, count: 2}],
		because: [/on x/v, /are full/v],
	},
	{
		name: 'each executor has its share of the step',
		steps: [{maxPerExecutor: 1, count: 2}],
		because: [/on x/v, /hold their share of the step/v],
	},
	{
		name: 'no executor is usable',
		steps: [{}],
		prepare(owner) {
			scheduler.markUnresponsive(owner, 'x', 0);
		},
		because: [/no executor of the service may take work now/v],
	},
	{
		name: 'it may run on an executor of the previous owner',
		steps: [{}],
		prepare(owner) {
			scheduler.inheritExecutor(owner, createListed('old'), 9000);
		},
		because: [/may still run on old/v],
	},
];

for (const {name, steps, prepare, because} of cases) {
	tap.t.test(`explanation of a task: ${name}`, async (t) => {
		const owner = createTestOwner([createListed('x')]);
		prepare?.(owner);
		const job = submit(owner, createAccepted('a', steps), true);
		planAndStart(owner, 0);
		const explained = scheduler.explainJob(owner, job, 0);
		t.equal(explained.length, because.length);
		for (const [index, pattern] of because.entries()) {
			t.match(explained[index]!.because, pattern);
		}
	});
}

/**
 * Guards against members of a gang that hold their room and end alone since the
 * start of another one was refused, never sent, or had no answer.
 */
import type {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createJobSpec,
	createTestPlatform,
	waitUntil,
} from '../job-daemon.test.fixture.js';
import {startOwnedService} from './owned-services.test.fixture.js';

const id = createId(1);

const gang = createJobSpec({
	count: 3,
	isGang: true,
	maxPerExecutor: 1,
	resources: {cpuMillis: 4000, memoryMb: 100, accelerators: 0},
});

type Case = {
	readonly name: string;
	/** Answer to the first start of the last member, which is not carried out. */
	readonly answer: scheduler.StartAnswer;
	/** Numbers of all starts that are carried out, from the first one. */
	readonly runs: readonly number[];
};

const cases: readonly Case[] = [
	{name: 'not sent', answer: {kind: 'not-sent'}, runs: [0, 0, 0]},
	{
		name: 'refused',
		answer: {kind: 'refused', reason: 'unhealthy', clockMs: undefined},
		runs: [0, 0, 0],
	},
	{
		name: 'without an answer',
		answer: {kind: 'no-answer'},
		runs: [0, 0, 1, 1, 1],
	},
];

for (const {name, answer, runs} of cases) {
	tap.t.test(`a gang whose last start is ${name}`, async (t) => {
		const platform = createTestPlatform(['w', 'x', 'y', 'z']);
		const {executors} = platform;
		let isFirst = true;
		await startOwnedService(
			t,
			{
				...platform,
				executors: {
					...executors,
					async start(target, command, timeoutMs) {
						if (command.taskId === `${id}.0.0.2` && isFirst) {
							isFirst = false;
							return answer;
						}

						return executors.start(target, command, timeoutMs);
					},
				},
			},
			[createAcceptedJob(id, gang)],
		);
		const {listStarts} = executors;
		await waitUntil('the gang', () => listStarts().length >= runs.length);
		const [first] = listStarts();
		t.same(
			listStarts().map(({run}) => run - first!.run),
			runs,
		);
	});
}

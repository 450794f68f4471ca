import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {createListedExecutor} from '../job-daemon.test.fixture.js';
import {createExecutorLinks} from './executor-links.js';

/** Two executors of one id differ, as after it was forgotten. */
const x1 = scheduler.createExecutor(createListedExecutor('x'));
const x2 = scheduler.createExecutor(createListedExecutor('x'));
const yy = scheduler.createExecutor(createListedExecutor('yy'));

type Case = {
	readonly name: string;
	readonly rounds: ReadonlyArray<readonly scheduler.Executor[]>;
	/** What was done, in order. */
	readonly done: readonly string[];
	readonly closed: readonly string[];
};

const cases: readonly Case[] = [
	{name: 'one that comes', rounds: [[x1]], done: ['open x1'], closed: []},
	{name: 'one that stays', rounds: [[x1], [x1]], done: ['open x1'], closed: []},
	{
		name: 'one that goes',
		rounds: [[x1, yy], [yy]],
		done: ['open x1', 'open yy', 'close x1'],
		closed: ['x'],
	},
	{
		name: 'one that was forgotten and is listed again between two looks',
		rounds: [[x1], [x2]],
		done: ['open x1', 'close x1', 'open x2'],
		closed: ['x'],
	},
];

const names = new Map([
	[x1, 'x1'],
	[x2, 'x2'],
	[yy, 'yy'],
]);

for (const {name, rounds, done, closed} of cases) {
	tap.t.test(name, async (t) => {
		const seen: string[] = [];
		const links = createExecutorLinks((executor) => {
			const each = names.get(executor) ?? '';
			seen.push(`open ${each}`);
			return {
				close() {
					seen.push(`close ${each}`);
				},
			};
		});
		const answers = rounds.map((executors) =>
			links.reconcile(new Map(executors.map((each) => [each.id, each]))),
		);
		t.same(seen, done);
		t.same(answers.at(-1), closed);
		links.closeAll();
		t.equal(links.get('x'), undefined);
	});
}

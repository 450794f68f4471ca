import {scheduler} from '@gullstand/core';
import * as tap from 'tap';
import {createListedExecutor} from '../job-daemon.test.fixture.js';
import {createExecutorLinks} from './executor-links.js';

/** Two executors of one id, as when it is removed and listed again. */
const x1 = scheduler.createExecutor(createListedExecutor('x'));
const x2 = scheduler.createExecutor(createListedExecutor('x'));
const yy = scheduler.createExecutor(createListedExecutor('yy'));

type Case = {
	readonly name: string;
	readonly rounds: ReadonlyArray<readonly scheduler.Executor[]>;
	/** Links opened and closed, in order. */
	readonly actions: readonly string[];
	readonly closed: readonly string[];
};

const cases: readonly Case[] = [
	{name: 'a new executor', rounds: [[x1]], actions: ['open x1'], closed: []},
	{
		name: 'an unchanged executor',
		rounds: [[x1], [x1]],
		actions: ['open x1'],
		closed: [],
	},
	{
		name: 'a removed executor',
		rounds: [[x1, yy], [yy]],
		actions: ['open x1', 'open yy', 'close x1'],
		closed: ['x'],
	},
	{
		name: 'an executor removed and listed again between two rounds',
		rounds: [[x1], [x2]],
		actions: ['open x1', 'close x1', 'open x2'],
		closed: ['x'],
	},
];

const names = new Map([
	[x1, 'x1'],
	[x2, 'x2'],
	[yy, 'yy'],
]);

for (const {name, rounds, actions, closed} of cases) {
	tap.t.test(name, async (t) => {
		const performed: string[] = [];
		const links = createExecutorLinks((executor) => {
			const each = names.get(executor) ?? '';
			performed.push(`open ${each}`);
			return {
				close() {
					performed.push(`close ${each}`);
				},
			};
		});
		const answers = rounds.map((executors) =>
			links.reconcile(new Map(executors.map((each) => [each.id, each]))),
		);
		t.same(performed, actions);
		t.same(answers.at(-1), closed);
		links.closeAll();
		t.equal(links.get('x'), undefined);
	});
}

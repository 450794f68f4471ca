import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	listRuns,
	planAndStart,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';

type Case = {
	readonly name: string;
	/** Progress of the tasks at 5,000 and at 6,000, shortly before the limit. */
	readonly percents: ReadonlyArray<readonly [number, number]>;
	readonly stops: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'a task that makes progress may be ready by now, and stays while another is not',
		percents: [
			[70, 95],
			[70, 95],
		],
		stops: [],
	},
	{
		name: 'a task that makes progress is restarted within its budget',
		percents: [
			[70, 95],
			[100, 100],
		],
		stops: ['stop a.0.0.0 on e0: hung'],
	},
	{
		name: 'tasks without progress are restarted whatever the budget',
		percents: [
			[70, 70],
			[70, 70],
		],
		stops: ['stop a.0.0.0 on e0: hung', 'stop a.0.0.1 on e1: hung'],
	},
];

// A task that starts up past the limit may become ready between two polls.
for (const {name, percents, stops} of cases) {
	tap.t.test(name, async (t) => {
		const ids = ['e0', 'e1'];
		const owner = createTestOwner(ids.map((id) => createListed(id)));
		submit(
			owner,
			createAccepted('a', [
				{isLongRunning: true, maxPerExecutor: 1, count: 2, mayMiss: 1},
			]),
		);
		planAndStart(owner, 0);
		for (const [column, at] of [5000, 6000].entries()) {
			for (const [index, id] of ids.entries()) {
				const [run] = listRuns(owner, id);
				const percent = percents[index]![column]!;
				pollExecutor(owner, id, {at, running: [{...run!, percent}]});
			}
		}

		t.same(describeCommands(planAndStart(owner, 6501)), stops);
	});
}

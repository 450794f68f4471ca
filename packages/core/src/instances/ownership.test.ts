/** Drives entries and movers by random commands; names as in spec/. */
import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	actions,
	checkProperties,
	createSystem,
	getCommittedInstance,
	type Guard,
	type System,
} from './ownership-system.test.fixture.js';

type Action = keyof typeof actions;

const names = Object.keys(actions) as Action[];

/** Each command is one step of one process, at any moment. */
const createCommand = (name: Action, index: number, age: number) => ({
	check: () => true,
	run(_model: {steps: number}, system: System) {
		const before = system.entries.map(({revision, life}) => ({revision, life}));
		actions[name](system, index, age);
		checkProperties(system);
		for (const [at, {revision, life}] of before.entries()) {
			const entry = system.entries[at]!;
			assert.ok(entry.life > life || entry.revision >= revision, 'no revert');
		}
	},
	toString: () => `${name}(${index}, ${age})`,
});

// Steps towards a move come more often than those that undo one.
const weights: Readonly<Partial<Record<Action, number>>> = {
	applyRevision: 4,
	registerEntry: 3,
	acknowledgeRevision: 4,
	decideMove: 4,
	commitMove: 4,
	pick: 2,
	send: 2,
	finish: 2,
};

const weightedNames = names.flatMap((name) =>
	Array.from({length: weights[name] ?? 1}, () => name),
);

const commands = fc.commands(
	[
		fc
			.tuple(
				fc.constantFrom(...weightedNames),
				fc.nat(2),
				fc.constantFrom(0, 0, 0, 1, 2),
			)
			.map(([name, index, age]) => createCommand(name, index, age)),
	],
	{maxCommands: 150, size: 'max'},
);

const runAll = (left?: Guard, numRuns = 1500) =>
	fc.check(
		fc.property(commands, (list) => {
			fc.modelRun(() => ({model: {steps: 0}, real: createSystem(left)}), list);
		}),
		{seed: 17, numRuns, endOnFailure: true},
	);

tap.t.test('an instance has one pool, whatever the order', async (t) => {
	const result = runAll();
	t.notOk(result.failed, String(result.errorInstance));
});

const guards: Guard[] = [
	'membership',
	'in-flight',
	'picked',
	'current-view',
	'monotonic',
	'version',
];

for (const guard of guards) {
	tap.t.test(`without the guard ${guard} a run breaks it`, async (t) => {
		const {failed, errorInstance} = runAll(guard, 20_000);
		t.ok(failed);
		t.equal((errorInstance as Error).name, 'AssertionError');
	});
}

tap.t.test('moves end in these runs', async (t) => {
	let moved = 0;
	fc.assert(
		fc.property(commands, (list) => {
			const system = createSystem(undefined);
			fc.modelRun(() => ({model: {steps: 0}, real: system}), list);
			moved += getCommittedInstance(system).pool === 'b' ? 1 : 0;
		}),
		{seed: 17, numRuns: 500},
	);
	t.ok(moved > 5, `${moved} runs ended in the new pool`);
});

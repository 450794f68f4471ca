import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	listRuns,
	planAndStart,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const lasting = {isLongRunning: true, maxPerExecutor: 1, mayMiss: 1};

type Case = {
	readonly name: string;
	readonly executors: number;
	readonly steps: ReadonlyArray<Partial<scheduler.StepSpec>>;
	readonly percent?: number;
	/** Urgent if absent. */
	readonly urgency?: scheduler.EvacuationUrgency;
	readonly change?: (owner: scheduler.Owner) => void;
	readonly hold: Partial<scheduler.ExecutorHold>;
};

const cases: readonly Case[] = [
	{
		name: 'its service has no other executor for what is to run',
		executors: 1,
		steps: [{}],
		urgency: 'normal',
		hold: {waitsFor: 'turn', phase: 'waiting', runs: 1},
	},
	{
		name: 'a long-running task has room on no other executor',
		executors: 1,
		steps: [lasting],
		hold: {waitsFor: 'room-elsewhere', runs: 1},
	},
	{
		name: 'another task of a long-running step is not ready',
		executors: 3,
		steps: [{...lasting, count: 2}],
		percent: 50,
		hold: {waitsFor: 'disruption-budget', runs: 1},
	},
	{
		name: 'runs may end by themselves',
		executors: 1,
		steps: [{}],
		hold: {waitsFor: 'runs', runs: 1},
	},
	{
		name: 'runs are being stopped',
		executors: 1,
		steps: [{}],
		change(owner) {
			scheduler.planCommands(owner, 1300, 1300);
		},
		hold: {waitsFor: 'stops', runs: 1},
	},
	{
		name: 'the executor does not answer',
		executors: 1,
		steps: [{}],
		change(owner) {
			scheduler.markUnresponsive(owner, 'e0', 250);
		},
		hold: {waitsFor: 'answer', runs: 1},
	},
	{
		name: 'runs of unknown jobs',
		executors: 1,
		steps: [],
		change(owner) {
			owner.executors.get('e0')!.orphanedRunCount = 1;
		},
		hold: {waitsFor: 'strays', runs: 0},
	},
	{
		name: 'an empty executor is not reserved yet',
		executors: 1,
		steps: [],
		hold: {waitsFor: 'reservation', runs: 0},
	},
	{
		name: 'a reserved executor waits for its command',
		executors: 1,
		steps: [],
		change(owner) {
			scheduler.reserveExecutor(owner, 'e0', 250);
		},
		hold: {waitsFor: 'command', runs: 0},
	},
];

for (const {name, executors, steps, hold, ...rest} of cases) {
	tap.t.test(`what a hold waits for: ${name}`, async (t) => {
		const {percent = 100, urgency = 'urgent', change} = rest;
		const ids = Array.from({length: executors}, (_, index) => `e${index}`);
		const owner = createTestOwner(ids.map((id) => createListed(id)));
		if (steps.length > 0) {
			submit(owner, createAccepted('a', steps));
			planAndStart(owner, 0);
		}

		for (const id of ids) {
			const running = listRuns(owner, id).map((run) => ({
				...run,
				percent,
			}));
			pollExecutor(owner, id, {at: 100, running});
		}

		const request = {
			patienceMs: 1000,
			claimant: 'wave 1',
			urgency,
		};
		scheduler.requestEvacuation(owner, 'e0', request, 200);
		change?.(owner);
		t.match(scheduler.listHolds(owner, 1400), [
			{executor: 'e0', claimant: 'wave 1', heldMs: 1200, ...hold},
		]);
	});
}

tap.t.test(
	'a reservation that outlives its request has no claimant',
	async (t) => {
		const owner = createTestOwner([createListed('e0'), createListed('e1')]);
		scheduler.reserveExecutor(owner, 'e0', 200);
		t.same(scheduler.listHolds(owner, 300), [
			{
				executor: 'e0',
				claimant: undefined,
				heldMs: undefined,
				phase: undefined,
				waitsFor: 'command',
				runs: 0,
			},
		]);
	},
);

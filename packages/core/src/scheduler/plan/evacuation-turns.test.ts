/**
 * Guards against evacuations that leave nothing to a service that has work, and
 * against one that keeps an executor free without an end.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	submit,
} from '../owner.test.fixture.js';
import {simulateMaintenance} from './maintained-service.test.fixture.js';

type Request = readonly [
	executor: string,
	urgency: scheduler.EvacuationUrgency,
	outcome: scheduler.EvacuationRequestOutcome['kind'],
];

type Case = {
	readonly name: string;
	readonly executors: readonly scheduler.ListedExecutor[];
	/** Steps of an open job; none if empty. */
	readonly steps: ReadonlyArray<Partial<scheduler.StepSpec>>;
	readonly change?: (owner: scheduler.Owner) => void;
	readonly requests: readonly Request[];
};

const create = (count: number) =>
	Array.from({length: count}, (_, index) => createListed(`e${index}`));

const large = {cpuMillis: 4000, memoryMb: 100, accelerators: 0};

const cases: readonly Case[] = [
	{
		name: 'the last executor of a service with work',
		executors: create(1),
		steps: [{}],
		requests: [['e0', 'normal', 'deferred']],
	},
	{
		name: 'the last executor, for a claimant that is late otherwise',
		executors: create(1),
		steps: [{}],
		requests: [['e0', 'urgent', 'empty']],
	},
	{
		name: 'the only executor of an idle service',
		executors: create(1),
		steps: [],
		requests: [['e0', 'normal', 'empty']],
	},
	{
		name: 'all executors of an idle service',
		executors: create(3),
		steps: [],
		requests: [
			['e0', 'normal', 'empty'],
			['e1', 'normal', 'empty'],
			['e2', 'normal', 'deferred'],
		],
	},
	{
		name: 'all executors, urgently',
		executors: create(2),
		steps: [{}],
		requests: [
			['e0', 'urgent', 'empty'],
			['e1', 'urgent', 'deferred'],
		],
	},
	{
		name: 'the second of two, while the first is reserved',
		executors: create(2),
		steps: [{}],
		change(owner) {
			scheduler.reserveExecutor(owner, 'e0', 0);
		},
		requests: [['e1', 'urgent', 'deferred']],
	},
	{
		name: 'the second of two, while the first is draining',
		executors: [createListed('e0', {isDraining: true}), createListed('e1')],
		steps: [{}],
		requests: [['e1', 'normal', 'deferred']],
	},
	{
		name: 'the second of two, while the first does not answer',
		executors: create(2),
		steps: [{}],
		change(owner) {
			scheduler.markUnresponsive(owner, 'e0', 0);
		},
		requests: [['e1', 'normal', 'deferred']],
	},
	{
		name: 'one that does not answer',
		executors: create(2),
		steps: [{}],
		change(owner) {
			scheduler.markUnresponsive(owner, 'e0', 0);
		},
		requests: [['e0', 'normal', 'waiting']],
	},
	{
		name: 'an unanswered command for the last executor',
		executors: create(1),
		steps: [{}],
		requests: [['e0', 'commanded', 'empty']],
	},
	{
		name: 'the only executor with a label that a task needs',
		executors: [createListed('e0', {labels: ['k1']}), createListed('e1')],
		steps: [{requiredLabel: 'k1'}],
		requests: [
			['e0', 'normal', 'deferred'],
			['e1', 'normal', 'empty'],
		],
	},
	{
		name: 'the only executor that is large enough for a task',
		executors: [
			createListed('e0'),
			createListed('e1', {capacity: {...large, cpuMillis: 3000}}),
		],
		steps: [{resources: large}],
		requests: [
			['e0', 'normal', 'deferred'],
			['e1', 'normal', 'empty'],
		],
	},
	{
		name: 'executors that a gang needs together',
		executors: create(3),
		steps: [{count: 2, isGang: true, resources: large}],
		requests: [
			['e0', 'normal', 'empty'],
			['e1', 'normal', 'deferred'],
		],
	},
	{
		name: 'executors of the rack that a gang needs',
		executors: [
			createListed('e0', {labels: ['r1-1']}),
			createListed('e1', {labels: ['r1-1']}),
			createListed('e2', {labels: ['r1-2']}),
		],
		steps: [{count: 2, isGang: true, needsSameRack: true, resources: large}],
		requests: [
			['e0', 'normal', 'deferred'],
			['e2', 'normal', 'empty'],
		],
	},
	{
		name: 'executors, though a task is too large for all',
		executors: create(2),
		steps: [{resources: {...large, cpuMillis: 9000}}],
		requests: [
			['e0', 'normal', 'empty'],
			['e1', 'normal', 'deferred'],
		],
	},
];

for (const {name, executors, steps, change, requests} of cases) {
	tap.t.test(`what a service can do without: ${name}`, async (t) => {
		const owner = createTestOwner(executors);
		if (steps.length > 0) {
			submit(owner, createAccepted('a', steps));
		}

		change?.(owner);
		for (const [executor, urgency, outcome] of requests) {
			const request = {patienceMs: 0, urgency};
			t.equal(
				scheduler.requestEvacuation(owner, executor, request, 10).kind,
				outcome,
				executor,
			);
		}
	});
}

tap.t.test(
	'an executor takes short tasks while long-running ones leave it',
	async (t) => {
		const owner = createTestOwner(create(2));
		const lasting = {isLongRunning: true, count: 2, maxPerExecutor: 1};
		submit(owner, createAccepted('l', [lasting]));
		planAndStart(owner, 10);
		scheduler.requestEvacuation(owner, 'e0', {patienceMs: 1400}, 20);
		for (const [id, count, estimateMs] of [
			['short', 6, 500],
			['long', 1, 5000],
			['more', 1, 500],
		] as const) {
			submit(owner, createAccepted(id, [{count, estimateMs}]));
		}

		submit(owner, createAccepted('m', [{...lasting, count: 1}]));
		planAndStart(owner, 30);
		const countOn = (executor: string, job: string) =>
			[...owner.executors.get(executor)!.runs.values()].filter(({task}) =>
				task.id.startsWith(job),
			).length;
		t.ok(countOn('e0', 'short') > 0, 'short tasks, once the other is full');
		t.equal(countOn('e0', 'long') + countOn('e0', 'm'), 0, 'no others');
	},
);

type StuckCase = {
	readonly name: string;
	readonly executors: number;
	/** From when commands can be sent, in milliseconds. */
	readonly commandsFrom: number;
	readonly urgency: scheduler.EvacuationUrgency;
};

const stuckCases: readonly StuckCase[] = [
	{
		name: 'one of two executors',
		executors: 2,
		commandsFrom: 20_000,
		urgency: 'normal',
	},
	{
		name: 'four executors, urgently',
		executors: 4,
		commandsFrom: 20_000,
		urgency: 'urgent',
	},
];

for (const {name, executors, commandsFrom, urgency} of stuckCases) {
	tap.t.test(
		`executors that are kept for a command that does not come serve by turns: ${name}`,
		async (t) => {
			const ids = create(executors);
			const world = simulateMaintenance({
				executors: ids,
				asked: ids.map(({id}) => id),
				patienceMs: 1400,
				from: 100,
				mayCommand: (now) => now >= commandsFrom,
				terms: {urgency},
			});
			const used = new Set<string>();
			let longestMs = 0;
			for (let index = 0; index < 70; index += 1) {
				const at = world.now();
				world.submit(createAccepted(`j${index}`, [{estimateMs: 300}]));
				world.advanceTo(at + 500);
				const startedAt = world.startedAt.get(`j${index}.0.0.0`);
				const waitMs = (startedAt ?? Number.POSITIVE_INFINITY) - at;
				longestMs = Math.max(longestMs, waitMs);
				for (const executor of world.owner.executors.values()) {
					if (at < commandsFrom && scheduler.isUsable(executor, world.now())) {
						used.add(executor.id);
					}
				}
			}

			t.ok(longestMs < 3000, `a task waited ${longestMs} ms`);
			t.equal(used.size, executors, 'each serves meanwhile');
			t.equal(world.commandedAt.size, executors, 'commands');
			t.same(world.violations, []);
		},
	);
}

import * as tap from 'tap';
import type * as scheduler from '../index.js';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import {simulateMaintenance} from './maintained-service.test.fixture.js';

/** No job stands for this long in a calm time, in milliseconds. */
const maxStandingMs = 3000;

/** Time in which a wave expects one machine, in milliseconds. */
const turnaroundMs = 4500;

type Case = {
	readonly name: string;
	readonly executors: number;
	/** How many of them are asked for. */
	readonly asked: number;
	readonly lasting: Partial<scheduler.StepSpec>;
	/** Jobs of such a step; one if absent. */
	readonly jobs?: number;
	/** A further job with a long-running step. */
	readonly other?: Partial<scheduler.StepSpec>;
	readonly patienceMs?: number;
	/** Normal if absent. */
	readonly urgency?: scheduler.EvacuationUrgency;
	/** Executors that are commanded in the end; all that are asked for if absent. */
	readonly commanded?: number;
};

const one = {count: 1, maxPerExecutor: 1, mayMiss: 1};

/** What a quarter of an executor has. */
const quarter = {cpuMillis: 4000, memoryMb: 10, accelerators: 0};

const cases: readonly Case[] = [
	{name: 'one of two', executors: 2, asked: 1, lasting: {...one, count: 2}},
	{name: 'two of two', executors: 2, asked: 2, lasting: {...one, count: 2}},
	{
		name: 'two of two, without a limit for each executor',
		executors: 2,
		asked: 2,
		lasting: {...one, count: 2, maxPerExecutor: undefined},
	},
	{
		name: 'two of two with four tasks on each',
		executors: 2,
		asked: 2,
		lasting: {...one, count: 8, maxPerExecutor: 8},
	},
	{
		name: 'two of two with four tasks on each, which fit nowhere else',
		executors: 2,
		asked: 2,
		lasting: {...one, count: 8, maxPerExecutor: 4},
		commanded: 0,
	},
	{name: 'three of three', executors: 3, asked: 3, lasting: {...one, count: 3}},
	{name: 'two of three', executors: 3, asked: 2, lasting: {...one, count: 2}},
	{
		name: 'two of three, with a task on each',
		executors: 3,
		asked: 2,
		lasting: {...one, count: 3},
	},
	{
		name: 'four of four with tasks of several steps on each',
		executors: 4,
		asked: 4,
		lasting: {...one, count: 6, maxPerExecutor: 2},
		jobs: 3,
	},
	{
		name: 'four of four with tasks of several steps on each, which fill the rest',
		executors: 4,
		asked: 4,
		lasting: {
			...one,
			count: 3,
			resources: quarter,
		},
		jobs: 3,
	},
	{
		name: 'two of three, the third of which has room for three of eight tasks',
		executors: 3,
		asked: 2,
		lasting: {...one, count: 4, maxPerExecutor: 2, resources: quarter},
		jobs: 2,
		other: {...one, resources: quarter},
		urgency: 'urgent',
	},
	{
		name: 'two of three, without which only long-running tasks would fit',
		executors: 3,
		asked: 2,
		lasting: {...one, count: 4, maxPerExecutor: 2, resources: quarter},
		jobs: 2,
		other: {...one, resources: quarter},
		commanded: 1,
	},
	{
		name: 'three of three with room for one more task on each',
		executors: 3,
		asked: 3,
		urgency: 'urgent',
		lasting: {
			...one,
			count: 9,
			maxPerExecutor: undefined,
			resources: quarter,
		},
	},
	{
		name: 'two of two in a hurry',
		executors: 2,
		asked: 2,
		lasting: {...one, count: 2},
		patienceMs: 0,
	},
	{
		name: 'six of six with several tasks on each',
		executors: 6,
		asked: 6,
		lasting: {...one, count: 12, maxPerExecutor: 3, mayMiss: 2},
	},
];

/** Submits a short job each half second; returns its longest wait. */
const runShortJobs = (
	world: ReturnType<typeof simulateMaintenance>,
	jobs: number,
): number => {
	const submittedAt: number[] = [];
	for (let index = 0; index < jobs; index += 1) {
		submittedAt.push(world.now());
		world.submit(createAccepted(`j${index}`, [{count: 2}]));
		world.advanceTo(world.now() + 500);
	}

	return Math.max(
		...submittedAt.map(
			(at, index) =>
				(world.startedAt.get(`j${index}.0.0.0`) ?? Number.POSITIVE_INFINITY) -
				at,
		),
	);
};

tap.t.test(
	'executors that are evacuated together do not wait for each other',
	async (t) => {
		for (const {name, executors, asked, lasting, ...rest} of cases) {
			await t.test(name, async (each) => {
				const {patienceMs = 1400, commanded = asked, jobs = 1, other} = rest;
				const {urgency} = rest;
				const ids = Array.from({length: executors}, (_, index) => `e${index}`);
				const capacity = {cpuMillis: 16_000, memoryMb: 4000, accelerators: 0};
				const world = simulateMaintenance({
					executors: ids.map((id) => createListed(id, {capacity})),
					asked: ids.slice(0, asked),
					patienceMs,
					from: 1500,
					terms: {urgency},
				});
				for (let index = 0; index < jobs; index += 1) {
					const step = {isLongRunning: true, ...lasting};
					world.submit(createAccepted(`l${index}`, [step]));
				}

				if (other) {
					world.advanceTo(1000);
					const step = {isLongRunning: true, ...other};
					world.submit(createAccepted('o', [step]));
				}

				world.advanceTo(1500);
				const longestMs = runShortJobs(world, 60);
				each.ok(longestMs < maxStandingMs, `short tasks wait ${longestMs} ms`);
				each.same(world.violations, []);
				each.equal(world.commandedAt.size, commanded, 'commands');
				const tookMs = Math.max(...world.commandedAt.values()) - 1500;
				each.ok(tookMs < 2 * turnaroundMs * asked, `${tookMs} ms in all`);
			});
		}
	},
);

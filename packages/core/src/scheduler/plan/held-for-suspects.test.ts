/**
 * Guards against executors that are kept free for suspects without end: for one
 * that does not fit there, and for as long as one is isolated.
 */
import * as tap from 'tap';
import * as scheduler from '../index.js';
import {createAccepted, createListed} from '../owner.test.fixture.js';
import {simulateMaintenance} from './maintained-service.test.fixture.js';

/** No job stands for this long in a calm time, in milliseconds. */
const maxStandingMs = 3000;

/** When the suspects and then the short jobs are submitted, in milliseconds. */
const fromMs = 1500;

const shortJobs = 40;

const toResources = (cpuMillis: number): scheduler.Resources => ({
	cpuMillis,
	memoryMb: 10,
	accelerators: 0,
});

type Case = {
	readonly name: string;
	/** Executors of four cores. */
	readonly executors: number;
	/** What runs there already. */
	readonly present?: Partial<scheduler.StepSpec>;
	readonly suspect: Partial<scheduler.StepSpec>;
	/** How long the runs of the suspect had survived when they crashed. */
	readonly survivedMs?: readonly number[];
	/** Tasks of each short job, of which there is one each half second. */
	readonly shortTasks?: number;
	/** Whether the suspect starts in the end. */
	readonly isStarted: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a suspect that does not fit beside a long-running task',
		executors: 1,
		present: {isLongRunning: true, resources: toResources(2500)},
		suspect: {resources: toResources(2000)},
		isStarted: false,
	},
	{
		name: 'a suspect that fits once a long run has ended',
		executors: 1,
		present: {estimateMs: 15_000, resources: toResources(2500)},
		suspect: {resources: toResources(2000)},
		isStarted: true,
	},
	{
		name: 'a suspect that fits',
		executors: 1,
		suspect: {resources: toResources(2000)},
		isStarted: true,
	},
	{
		name: 'a long-running suspect that crashes late',
		executors: 1,
		suspect: {isLongRunning: true, resources: toResources(2000)},
		survivedMs: [5000, 5000],
		isStarted: true,
	},
	{
		name: 'a suspect with a long run that crashes late',
		executors: 1,
		suspect: {estimateMs: 30_000, resources: toResources(2000)},
		survivedMs: [5000, 5000],
		isStarted: true,
	},
	{
		name: 'a gang of suspects as wide as the service',
		executors: 4,
		suspect: {
			count: 4,
			isGang: true,
			maxPerExecutor: 1,
			resources: toResources(1000),
		},
		shortTasks: 8,
		isStarted: true,
	},
	{
		name: 'a gang of suspects that never fits',
		executors: 2,
		present: {
			isLongRunning: true,
			count: 2,
			maxPerExecutor: 1,
			resources: toResources(2500),
		},
		suspect: {count: 2, isGang: true, resources: toResources(2000)},
		shortTasks: 3,
		isStarted: false,
	},
];

/** Makes all tasks of a job suspects, as crashes of their executors do. */
const suspectAll = (
	owner: scheduler.Owner,
	id: string,
	survivedMs: readonly number[],
) => {
	for (const task of scheduler.listTasks(owner.jobs.get(id)!)) {
		task.crashes = survivedMs.map((each, index) => ({
			run: index + 1,
			survivedMs: each,
			wasIsolated: false,
			chance: 0.03,
			sign: 'restarted',
		}));
		scheduler.trackSuspect(owner, task);
	}
};

for (const each of cases) {
	const {name, executors, present, suspect, shortTasks = 1} = each;
	tap.t.test(`other work goes on beside ${name}`, async (t) => {
		const world = simulateMaintenance({
			executors: Array.from({length: executors}, (_, index) =>
				createListed(`x${index}`),
			),
			asked: [],
			patienceMs: 0,
			from: Number.POSITIVE_INFINITY,
		});
		if (present) {
			world.submit(createAccepted('p', [present]));
		}

		world.advanceTo(fromMs);
		world.submit(createAccepted('s', [suspect]));
		suspectAll(world.owner, 's', each.survivedMs ?? [0]);
		const submittedAt: number[] = [];
		for (let index = 0; index < shortJobs; index += 1) {
			submittedAt.push(world.now());
			world.submit(
				createAccepted(`j${index}`, [
					{count: shortTasks, resources: toResources(300)},
				]),
			);
			world.advanceTo(world.now() + 500);
		}

		const waits = submittedAt.map(
			(at, index) =>
				(world.startedAt.get(`j${index}.0.0.0`) ?? Number.POSITIVE_INFINITY) -
				at,
		);
		const longestMs = Math.max(...waits);
		t.ok(longestMs < maxStandingMs, `a short task waits ${longestMs} ms`);
		t.equal(world.startedAt.has('s.0.0.0'), each.isStarted);
	});
}

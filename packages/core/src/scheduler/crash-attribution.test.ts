/**
 * Guards against a task that crashes its executors being started without limit,
 * and against its neighbours being held responsible for it.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	describeCommands,
	flushAll,
	getCommandRun,
	listRuns,
	planAndStart,
	pollExecutor,
	submit,
} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const createExecutors = (count: number) =>
	Array.from({length: count}, (_, index) => createListed(`x${index}`));

/** Polls all executors, which list what the owner has started there. */
const pollAll = (owner: scheduler.Owner, at: number): void => {
	for (const id of owner.executors.keys()) {
		pollExecutor(owner, id, {at, running: listRuns(owner, id)});
	}
};

const getTask = (job: scheduler.Job, index = 0): scheduler.Task =>
	[...scheduler.listTasks(job)][index]!;

const startTask = (
	owner: scheduler.Owner,
	job: scheduler.Job,
	now: number,
): scheduler.Run => {
	planAndStart(owner, now);
	return getTask(job).runs[0]!;
};

type LossCase = {
	readonly name: string;
	/** How the executor is lost `afterMs` after the start of its only task. */
	readonly lose: (owner: scheduler.Owner, id: string, now: number) => void;
	readonly afterMs: number;
	readonly crashes: number;
	readonly isSuspect: boolean;
};

const terminate: LossCase['lose'] = (owner, id, now) => {
	scheduler.markTerminated(owner, id, now);
};

const lossCases: readonly LossCase[] = [
	{
		name: 'it terminates at once',
		lose: terminate,
		afterMs: 10,
		crashes: 1,
		isSuspect: true,
	},
	{
		name: 'it is unresponsive until its leases have expired',
		lose(owner, id, now) {
			scheduler.markUnresponsive(owner, id, now);
			scheduler.expireLeases(owner, now + 10_000);
		},
		afterMs: 10,
		crashes: 1,
		isSuspect: true,
	},
	{
		name: 'it terminates while the task has run for a while',
		lose: terminate,
		afterMs: 1000,
		crashes: 1,
		isSuspect: false,
	},
	{
		name: 'it terminates long after the start',
		lose: terminate,
		afterMs: 6000,
		crashes: 0,
		isSuspect: false,
	},
	{
		name: 'it leaves after it was draining',
		lose(owner, id, now) {
			scheduler.recordListedExecutor(
				owner,
				createListed(id, {isDraining: true}),
			);
			scheduler.markTerminated(owner, id, now);
		},
		afterMs: 10,
		crashes: 0,
		isSuspect: false,
	},
];

for (const {name, lose, afterMs, crashes, isSuspect} of lossCases) {
	tap.t.test(`the loss of an executor under a task: ${name}`, async (t) => {
		const owner = createTestOwner(createExecutors(2));
		const job = submit(
			owner,
			createAccepted('a', [{isLongRunning: true, estimateMs: 60_000}]),
		);
		const run = startTask(owner, job, 0);
		pollAll(owner, afterMs);
		lose(owner, run.executorId, afterMs);
		const task = getTask(job);
		t.equal(task.crashes.length, crashes);
		t.equal(scheduler.isCrashSuspect(task), isSuspect);
		t.equal(job.end, undefined);
		const [start] = planAndStart(owner, afterMs + 10_000);
		t.equal(getCommandRun(start)?.isIsolated, isSuspect);
	});
}

/** Crashes the executor of a job's only task; returns the number of starts. */
const crashUntilGivenUp = (
	owner: scheduler.Owner,
	job: scheduler.Job,
	survivedMs: number,
): number => {
	let starts = 0;
	let now = 0;
	while (job.end === undefined && starts < 20) {
		const run = startTask(owner, job, now);
		starts += 1;
		now += survivedMs;
		pollAll(owner, now);
		scheduler.markTerminated(owner, run.executorId, now);
		now += 1000;
	}

	return starts;
};

for (const {survivedMs, starts} of [
	{survivedMs: 0, starts: 3},
	{survivedMs: 250, starts: 3},
	{survivedMs: 1000, starts: 4},
	{survivedMs: 4500, starts: 4},
]) {
	tap.t.test(
		`a task that crashes its executors after ${survivedMs} ms is given up after ${starts} starts`,
		async (t) => {
			const owner = createTestOwner(createExecutors(8));
			const spec = createAccepted('a', [
				{isLongRunning: true, estimateMs: 60_000},
			]);
			const job = submit(owner, spec);
			t.equal(crashUntilGivenUp(owner, job, survivedMs), starts);
			t.equal(job.end, 'failed');
		},
	);
}

tap.t.test('crashes are counted over all owners of a service', async (t) => {
	const spec = createAccepted('a');
	let progress: string | undefined;
	let starts = 0;
	for (let token = 1; token <= 3; token++) {
		const owner = createTestOwner(createExecutors(2));
		const job = scheduler.addJob(owner, spec, true);
		if (progress !== undefined) {
			const row = JSON.parse(progress) as scheduler.JobProgress;
			scheduler.applyProgress(job, row, 0);
			scheduler.trackSuspectsOfJob(owner, job);
		}

		scheduler.advanceSchedules(owner, 0);
		// Run numbers grow over owners.
		getTask(job).lastRun = token * 10_000;
		const run = startTask(owner, job, 0);
		starts += 1;
		t.equal(run.isIsolated, token > 1);
		const {jobEnds} = scheduler.markTerminated(owner, run.executorId, 10);
		t.equal(jobEnds.length, token === 3 ? 1 : 0);
		progress = JSON.stringify(scheduler.encodeProgress(job));
	}

	t.equal(starts, 3);
	t.match(JSON.parse(progress!), {end: 'failed'});
});

tap.t.test(
	'suspects start apart, and nothing starts beside them until they are cleared',
	async (t) => {
		const owner = createTestOwner(createExecutors(4));
		submit(owner, createAccepted('a', [{count: 3}]));
		planAndStart(owner, 0);
		t.equal(listRuns(owner, 'x0').length, 3, 'side by side at first');
		scheduler.markTerminated(owner, 'x0', 10);
		submit(owner, createAccepted('b', [{count: 2}]));
		t.same(describeCommands(planAndStart(owner, 20)), [
			'start a.0.0.0 on x1',
			'start b.0.0.0 on x2',
			'start b.0.0.1 on x2',
		]);
		t.same(planAndStart(owner, 30), [], 'one of three executors at a time');
		pollAll(owner, 200);
		t.same(planAndStart(owner, 200), [], 'the probation is not over');
		pollAll(owner, 330);
		submit(owner, createAccepted('c'));
		t.same(describeCommands(planAndStart(owner, 330)), [
			'start a.0.0.1 on x3',
			'start c.0.0.0 on x2',
		]);
	},
);

tap.t.test(
	'an executor with recent runs is kept free until a suspect can start there',
	async (t) => {
		const owner = createTestOwner(createExecutors(2));
		const job = submit(owner, createAccepted('a'));
		const run = startTask(owner, job, 0);
		submit(owner, createAccepted('b', [{estimateMs: 5000}]));
		scheduler.markTerminated(owner, run.executorId, 10);
		owner.crashSuspects.clear();
		planAndStart(owner, 10);
		scheduler.trackSuspectsOfJob(owner, job);
		submit(owner, createAccepted('c'));
		t.same(planAndStart(owner, 20), [], 'b has started there just now');
		pollAll(owner, 310);
		t.same(describeCommands(planAndStart(owner, 320)), ['start a.0.0.0 on x1']);
		pollAll(owner, 620);
		t.same(describeCommands(planAndStart(owner, 630)), ['start c.0.0.0 on x1']);
	},
);

tap.t.test(
	'the crash of an isolated run says nothing of the runs beside it',
	async (t) => {
		const owner = createTestOwner(createExecutors(2));
		const suspect = submit(owner, createAccepted('a'));
		const first = startTask(owner, suspect, 0);
		scheduler.markTerminated(owner, first.executorId, 10);
		const other = submit(
			owner,
			createAccepted('b', [{estimateMs: 5000}], {
				policy: {priority: -1},
			}),
		);
		owner.crashSuspects.clear();
		planAndStart(owner, 10);
		scheduler.trackSuspectsOfJob(owner, suspect);
		pollAll(owner, 400);
		const run = startTask(owner, suspect, 400);
		t.ok(run.isIsolated);
		scheduler.markTerminated(owner, run.executorId, 410);
		t.same(getTask(other).crashes, []);
		t.equal(getTask(suspect).crashes.length, 2);
	},
);

tap.t.test('a gang is isolated and given up as a whole', async (t) => {
	const owner = createTestOwner(createExecutors(6));
	const spec = createAccepted('a', [
		{count: 2, isGang: true, maxPerExecutor: 1},
	]);
	const job = submit(owner, spec);
	let starts = 0;
	for (let now = 0; job.end === undefined && now < 20_000; now += 1000) {
		const run = startTask(owner, job, now);
		starts += 1;
		t.ok(getTask(job, 1).runs.length > 0);
		t.equal(run.isIsolated, starts > 1);
		scheduler.markTerminated(owner, run.executorId, now + 10);
		const [other] = getTask(job, 1).runs;
		const end = {taskId: other!.task.id, run: other!.number, number: starts};
		pollExecutor(owner, other!.executorId, {
			at: now + 20,
			ends: [{...end, how: 'broken'}],
		});
	}

	t.equal(starts, 3);
	t.equal(job.end, 'failed');
});

tap.t.test('a crash known before is not counted again', async (t) => {
	const owner = createTestOwner(createExecutors(1));
	const job = submit(owner, createAccepted('a'));
	startTask(owner, job, 0);
	const executor = owner.executors.get('x0')!;
	const runs = [...executor.runs.values()];
	scheduler.attributeLoss(owner, executor, runs, 10);
	scheduler.attributeLoss(owner, executor, runs, 20);
	t.equal(getTask(job).crashes.length, 1);
});

tap.t.test('operators are told why a suspect waits', async (t) => {
	const owner = createTestOwner(createExecutors(1));
	const job = submit(owner, createAccepted('a'));
	startTask(owner, job, 0);
	scheduler.markTerminated(owner, 'x0', 10);
	const [explanation] = scheduler.explainJob(owner, job, 20);
	t.match(explanation, {state: 'waiting', because: /crashed 1 executors/v});
});

/** A pool in which each start of one task crashes its executor. */
type Simulation = {
	readonly executors: number;
	/** Tasks of each job; the first task of the first job is the cause. */
	readonly jobs: readonly number[];
	readonly crashDelayMs: number;
	/** Time between two owners of the service; absent for one owner only. */
	readonly takeoverMs: number | undefined;
};

const stepMs = 10;
const detectionMs = 350;
const restartMs = 3000;
const workMs = 500;

/** Hands a service over to its next owner, as after a planned stop. */
const handOver = (
	previous: scheduler.Owner,
	isLost: (id: string) => boolean,
	now: number,
): scheduler.Owner => {
	scheduler.attributeUnresponsive(previous, now);
	const {service, token, cfg} = previous;
	const owner = scheduler.createOwner(service, token + 1, cfg, now);
	for (const job of previous.jobs.values()) {
		const row = JSON.stringify(scheduler.encodeProgress(job));
		const next = scheduler.addJob(owner, job.accepted, true);
		const progress = JSON.parse(row) as scheduler.JobProgress;
		scheduler.applyProgress(next, progress, now);
		scheduler.trackSuspectsOfJob(owner, next);
		if (next.end) {
			owner.openJobs.delete(next);
		}
	}

	scheduler.advanceSchedules(owner, now);
	for (const {id, listed} of previous.executors.values()) {
		if (isLost(id)) {
			const leasesEndAt = now + scheduler.getMaxLeaseDurationMs(cfg);
			scheduler.inheritExecutor(owner, listed, leasesEndAt);
			scheduler.markUnresponsive(owner, id, now);
		} else {
			scheduler.recordListedExecutor(owner, listed);
			pollExecutor(owner, id, {at: now, running: listRuns(previous, id)});
		}
	}

	flushAll(owner);
	return owner;
};

const simulate = ({executors, jobs, crashDelayMs, takeoverMs}: Simulation) => {
	let owner = createTestOwner(createExecutors(executors));
	for (const [index, count] of jobs.entries()) {
		submit(owner, createAccepted(`j${index}`, [{count}]));
	}

	const cause = 'j0.0.0.0';
	const ends = new Map<string, scheduler.ListedEnd[]>();
	const losses: Array<{readonly id: string; readonly at: number}> = [];
	let causeStarts = 0;
	let nextId = executors;
	const isLost = (id: string): boolean => losses.some((each) => each.id === id);
	for (let now = 0; now < 60_000; now += stepMs) {
		if (takeoverMs !== undefined && now > 0 && now % takeoverMs === 0) {
			owner = handOver(owner, isLost, now);
		}

		for (const {id, at} of losses) {
			if (now === at + detectionMs) {
				scheduler.markTerminated(owner, id, now);
			} else if (now === at + restartMs) {
				const listed = createListed(`x${nextId}`);
				nextId += 1;
				scheduler.recordListedExecutor(owner, listed);
				pollExecutor(owner, listed.id, {at: now});
				flushAll(owner);
			}
		}

		for (const executor of owner.executors.values()) {
			const {id, runs} = executor;
			const crash = [...runs.values()].find(
				({task, askedAt}) =>
					task.id === cause && askedAt + crashDelayMs === now,
			);
			if (crash && !isLost(id)) {
				losses.push({id, at: now});
				scheduler.markUnresponsive(owner, id, now);
			} else if (!isLost(id)) {
				const listed = ends.get(id) ?? [];
				for (const {task, number, askedAt} of runs.values()) {
					if (task.id !== cause && askedAt + workMs <= now) {
						listed.push({
							number: listed.length + 1,
							taskId: task.id,
							run: number,
							how: 'done',
							checkpoint: '',
						});
					}
				}

				ends.set(id, listed);
				const ended = new Set(
					listed.map(({taskId, run}) => `${taskId}/${run}`),
				);
				pollExecutor(owner, id, {
					at: now,
					ends: listed,
					running: listRuns(owner, id).filter(
						({taskId, run}) => !ended.has(`${taskId}/${run}`),
					),
				});
			}
		}

		const starts = planAndStart(owner, now).filter(
			(command) => command.kind === 'start',
		);
		causeStarts += starts.filter(({run}) => run.task.id === cause).length;
	}

	return {ends: [...owner.jobs.values()].map(({end}) => end), causeStarts};
};

tap.t.test(
	'only the task that crashes its executors is given up, whatever runs beside it',
	async (t) => {
		fc.assert(
			fc.property(
				fc.record({
					executors: fc.integer({min: 1, max: 6}),
					jobs: fc.array(fc.integer({min: 1, max: 12}), {
						minLength: 1,
						maxLength: 8,
					}),
					crashDelayMs: fc.constantFrom(10, 50, 250),
					takeoverMs: fc.constantFrom(undefined, 700, 2000),
				}),
				(simulation) => {
					const {ends, causeStarts} = simulate(simulation);
					return (
						causeStarts <= 5 &&
						ends[0] === 'failed' &&
						ends.slice(1).every((each) => each === 'completed')
					);
				},
			),
			{numRuns: 40, seed: 1},
		);
		t.pass();
	},
);

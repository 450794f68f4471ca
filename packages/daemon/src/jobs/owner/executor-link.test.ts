import {setTimeout as delay} from 'node:timers/promises';
import {scheduler} from '@gullstand/core';
import type {Executors, PollAnswer} from '@gullstand/ports';
import * as tap from 'tap';
import {
	createAcceptedJob,
	createId,
	createListedExecutor,
	now,
} from '../job-daemon.test.fixture.js';
import {openExecutorLink} from './executor-link.js';

type Waits = number[];

/** Answers every poll with `answer`, after the requested wait. */
const createExecutors = (answer: PollAnswer, waits: Waits): Executors => {
	const done = async () => ({kind: 'done', clockMs: now()}) as const;
	return {
		start: async () => ({kind: 'started', clockMs: now()}),
		stop: done,
		throttle: done,
		async poll(_target, {waitMs}) {
			waits.push(waitMs);
			await new Promise((resolve) => {
				setTimeout(resolve, waitMs);
			});
			return answer;
		},
		closeConnections: () => undefined,
	};
};

const seen = {kind: 'seen', clockMs: 1, running: [], ends: []} as const;

const orphanedRun = {
	taskId: 'gone.0.0.0',
	run: 1,
	checkpoint: '',
	percent: 0,
	load: 0,
};

/** Adds a run that was started in isolation and is not confirmed yet. */
const addIsolatedRun = (owner: scheduler.Owner): void => {
	const job = scheduler.addJob(owner, createAcceptedJob(createId(1)), false);
	const [step] = scheduler.addOccurrence(job).steps;
	const run = scheduler.createRun(step!.tasks[0]!, 1, 'x', now());
	run.isIsolated = true;
	scheduler.addRun(owner.executors.get('x')!, run);
};

const cases = [
	['an idle executor is polled once', seen, () => undefined, [0]],
	[
		'a poll of an executor with an orphaned run waits for its end',
		{...seen, running: [orphanedRun]},
		() => undefined,
		[0, 800],
	],
	[
		'a poll of an executor with an isolated run waits for its probation',
		seen,
		addIsolatedRun,
		[0, 300],
	],
] as const;

for (const [name, answer, prepare, expected] of cases) {
	tap.t.test(name, async (t) => {
		const cfg = scheduler.defaultSchedulerConfig;
		const owner = scheduler.createOwner('s', 1, cfg, 0);
		scheduler.recordListedExecutor(owner, createListedExecutor('x'), 0);
		prepare(owner);
		const waits: Waits = [];
		const link = openExecutorLink({
			owner,
			executor: owner.executors.get('x')!,
			executors: createExecutors(answer, waits),
			now,
			isOwnershipConfirmed: () => true,
			logger: {info: () => undefined as never, warn: () => undefined as never},
			reportFailure(err) {
				t.fail(err.message);
			},
			onChange: () => undefined,
			onPoll: () => undefined,
			onFenced: () => undefined,
			onStartAnswer: () => undefined,
		});
		await new Promise((resolve) => {
			setTimeout(resolve, 100);
		});
		link.close();
		t.same(waits, expected);
	});
}

tap.t.test(
	'the answer to a start is reported though its executor was lost meanwhile',
	async (t) => {
		const cfg = scheduler.defaultSchedulerConfig;
		const owner = scheduler.createOwner('s', 1, cfg, 0);
		scheduler.recordListedExecutor(owner, createListedExecutor('x'), 0);
		addIsolatedRun(owner);
		const executor = owner.executors.get('x')!;
		const [run] = executor.runs.values();
		const answer = {kind: 'other-life'} as const;
		const reported: scheduler.StartAnswer[] = [];
		const link = openExecutorLink({
			owner,
			executor,
			executors: {...createExecutors(seen, []), start: async () => answer},
			now,
			isOwnershipConfirmed: () => true,
			logger: {info: () => undefined as never, warn: () => undefined as never},
			reportFailure(err) {
				t.fail(err.message);
			},
			onChange: () => undefined,
			onPoll: () => undefined,
			onFenced: () => undefined,
			onStartAnswer(_run, each) {
				reported.push(each);
			},
		});
		link.send({
			kind: 'start',
			executor,
			run: run!,
			leaseEndMs: 1,
			ticket: undefined,
		});
		link.close();
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
		t.same(reported, [answer]);
		t.equal(executor.unresponsiveSince, undefined);
		t.equal(executor.runs.size, 1, 'the closed link applies nothing');
	},
);

tap.t.test(
	'connections to an earlier address of an executor are closed',
	async (t) => {
		const cfg = scheduler.defaultSchedulerConfig;
		const owner = scheduler.createOwner('s', 1, cfg, 0);
		const addresses = ['10.0.0.1:1', '10.0.0.2:1'] as const;
		const closed: string[] = [];
		const listAt = (address: string) => {
			scheduler.recordListedExecutor(
				owner,
				{
					...createListedExecutor('x'),
					address,
				},
				0,
			);
		};

		listAt(addresses[0]);
		const link = openExecutorLink({
			owner,
			executor: owner.executors.get('x')!,
			executors: {
				...createExecutors(seen, []),
				closeConnections({address}) {
					closed.push(address);
				},
			},
			now,
			isOwnershipConfirmed: () => true,
			logger: {info: () => undefined as never, warn: () => undefined as never},
			reportFailure(err) {
				t.fail(err.message);
			},
			onChange: () => undefined,
			onPoll: () => undefined,
			onFenced: () => undefined,
			onStartAnswer: () => undefined,
		});
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
		t.same(closed, []);
		listAt(addresses[1]);
		link.pollNow();
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
		t.same(closed, [addresses[0]]);
		link.close();
		t.same(closed, addresses);
	},
);

tap.t.test('the line of an executor that is silent says why', async (t) => {
	const cfg = scheduler.defaultSchedulerConfig;
	const owner = scheduler.createOwner('s', 1, cfg, 0);
	scheduler.recordListedExecutor(owner, createListedExecutor('x'), 0);
	const lines: unknown[] = [];
	const answer = {
		kind: 'no-answer',
		reason: 'unreadable',
		status: 200,
	} as const;
	const link = openExecutorLink({
		owner,
		executor: owner.executors.get('x')!,
		executors: createExecutors(answer, []),
		now,
		isOwnershipConfirmed: () => true,
		logger: {
			info: () => undefined as never,
			warn(...args: unknown[]) {
				lines.push(args);
				return undefined as never;
			},
		},
		reportFailure(err) {
			t.fail(err.message);
		},
		onChange: () => undefined,
		onPoll: () => undefined,
		onFenced: () => undefined,
		onStartAnswer: () => undefined,
	});
	await new Promise((resolve) => {
		setTimeout(resolve, 20);
	});
	link.close();
	t.match(lines, [
		[
			'executor not responding',
			{executor: 'x', reason: 'unreadable', status: 200},
		],
	]);
});

const commandKinds = ['start', 'stop', 'stop of an orphaned run'] as const;

const answers = {
	start: seen,
	stop: seen,
	'stop of an orphaned run': {...seen, running: [orphanedRun]},
} as const;

for (const kind of commandKinds) {
	tap.t.test(
		`a ${kind} that another executor answers opens the connections anew`,
		async (t) => {
			const cfg = scheduler.defaultSchedulerConfig;
			const owner = scheduler.createOwner('s', 1, cfg, 0);
			scheduler.recordListedExecutor(owner, createListedExecutor('x'), 0);
			addIsolatedRun(owner);
			const executor = owner.executors.get('x')!;
			const [run] = executor.runs.values();
			const otherLife = async () => ({kind: 'other-life'}) as const;
			const closed: string[] = [];
			const link = openExecutorLink({
				owner,
				executor,
				executors: {
					...createExecutors(answers[kind], []),
					start: otherLife,
					stop: otherLife,
					closeConnections({id}) {
						closed.push(id);
					},
				},
				now,
				isOwnershipConfirmed: () => true,
				logger: {
					info: () => undefined as never,
					warn: () => undefined as never,
				},
				reportFailure(err) {
					t.fail(err.message);
				},
				onChange: () => undefined,
				onPoll: () => undefined,
				onFenced: () => undefined,
				onStartAnswer: () => undefined,
			});
			if (kind === 'start') {
				const rest = {leaseEndMs: 1, ticket: undefined};
				link.send({kind, executor, run: run!, ...rest});
			} else if (kind === 'stop') {
				link.send({kind, executor, run: run!, reason: 'task-done'});
			}

			await new Promise((resolve) => {
				setTimeout(resolve, 20);
			});
			t.same(closed, ['x']);
			link.close();
		},
	);
}

/**
 * Guards against a task that runs twice: its start and an acknowledgement sent
 * just after were both carried out by the next incarnation of the executor, which
 * discarded the end of the task unseen.
 */
tap.t.test('no end is acknowledged while a start has no answer', async (t) => {
	const cfg = scheduler.defaultSchedulerConfig;
	const owner = scheduler.createOwner('s', 1, cfg, 0);
	scheduler.recordListedExecutor(owner, createListedExecutor('x'), 0);
	const executor = owner.executors.get('x')!;
	const acks: number[] = [];
	const link = openExecutorLink({
		owner,
		executor,
		executors: {
			...createExecutors(seen, []),
			async poll(_target, {acknowledgedUpto}) {
				acks.push(acknowledgedUpto);
				await delay(10);
				return seen;
			},
		},
		now,
		isOwnershipConfirmed: () => true,
		logger: {info: () => undefined as never, warn: () => undefined as never},
		reportFailure(err) {
			t.fail(err.message);
		},
		onChange: () => undefined,
		onPoll: () => undefined,
		onFenced: () => undefined,
		onStartAnswer: () => undefined,
	});
	t.teardown(link.close);
	await delay(50);
	addIsolatedRun(owner);
	executor.acknowledgedUpto = 1;
	link.notifyAckable();
	await delay(500);
	t.ok(acks.length > 1, 'it is polled');
	t.ok(
		acks.every((each) => each === 0),
		`acknowledged: ${acks.join(', ')}`,
	);
	for (const run of executor.runs.values()) {
		run.state = 'running';
	}

	await delay(200);
	t.ok(acks.includes(1), 'it is acknowledged after the answer');
});

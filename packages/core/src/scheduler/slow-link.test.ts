/**
 * An owner on a small instance shares one link, or one processor, among all
 * its calls. It ordered every start that had room at once; answers to the last
 * of them came after the 600 ms that it waits, so that it took the executors
 * for silent, stopped what ran there and started it again, which took more
 * calls than before. At 880 starts a second on a link of 7 Mbit/s half of the
 * answers took over 400 ms and 20 in 100 starts were given up:
 *
 *     task start outcome=no-answer tookMs=600
 *     task stop  reason=unanswered-start outcome=done percent=0
 *     run vanished
 */
import * as tap from 'tap';
import {createAccepted, createListed, submit} from './owner.test.fixture.js';
import * as scheduler from './index.js';

const executorCount = 30;
const taskMs = 600;
const orderTimeoutMs = 600;
const planMs = 10;
const lookWaitMs = 800;

type Job = {readonly at: number; readonly run: () => void};

/** Runs events in order of their time. */
const createTimeline = () => {
	const events: Job[] = [];
	let now = 0;
	return {
		now: () => now,
		at(time: number, run: () => void) {
			const at = Math.max(now, time);
			const index = events.findLastIndex((each) => each.at <= at);
			events.splice(index + 1, 0, {at, run});
		},
		runUntil(end: number, isOver: () => boolean) {
			while (events.length > 0 && events[0]!.at <= end && !isOver()) {
				const event = events.shift()!;
				now = event.at;
				event.run();
			}
		},
	};
};

/** What an executor runs and has ended, by the numbers it lists. */
type Remote = {
	readonly running: Map<string, scheduler.ListedRun>;
	readonly barred: Set<string>;
	ends: scheduler.ListedEnd[];
	endCount: number;
	wake: (() => void) | undefined;
};

/** An owner, its executors, and one link that carries a message at a time. */
const createWorld = (messageMs: number) => {
	const timeline = createTimeline();
	const {now, at} = timeline;
	const owner = scheduler.createOwner(
		's',
		1,
		scheduler.defaultSchedulerConfig,
		0,
	);
	const remotes = new Map<string, Remote>();
	const counts = {started: 0, unanswered: 0, done: 0};
	let linkFreeAt = 0;

	const pass = (run: () => void) => {
		linkFreeAt = Math.max(linkFreeAt, now()) + messageMs;
		at(linkFreeAt, run);
	};

	/** A call that is carried out even if its answer comes too late. */
	const call = (
		serve: (answer: () => void) => void,
		timeoutMs: number,
		onAnswer: (isAnswered: boolean) => void,
	) => {
		let isSettled = false;
		const settle = (isAnswered: boolean) => {
			if (!isSettled) {
				isSettled = true;
				onAnswer(isAnswered);
			}
		};

		at(now() + timeoutMs, () => {
			settle(false);
		});
		pass(() => {
			serve(() => {
				pass(() => {
					settle(true);
				});
			});
		});
	};

	const finish = (remote: Remote, key: string, how: scheduler.RunEnd) => {
		const run = remote.running.get(key);
		if (!run) {
			return;
		}

		remote.running.delete(key);
		remote.endCount += 1;
		counts.done += how === 'done' ? 1 : 0;
		remote.ends.push({...run, number: remote.endCount, how});
		remote.wake?.();
	};

	const sendStart = (order: scheduler.Command & {kind: 'start'}) => {
		const {run, executor} = order;
		const remote = remotes.get(executor.id)!;
		const key = scheduler.getRunKey(run.task.id, run.number);
		counts.started += 1;
		call(
			(answer) => {
				if (!remote.barred.has(key)) {
					remote.running.set(key, {
						taskId: run.task.id,
						run: run.number,
						checkpoint: '',
						percent: 0,
						load: 0,
					});
					at(now() + taskMs, () => {
						finish(remote, key, 'done');
					});
				}

				answer();
			},
			orderTimeoutMs,
			(isAnswered) => {
				counts.unanswered += isAnswered ? 0 : 1;
				scheduler.applyStartAnswer(
					owner,
					run,
					isAnswered ? {kind: 'started', clockMs: now()} : {kind: 'no-answer'},
					now(),
				);
			},
		);
	};

	const sendStop = (order: scheduler.Command & {kind: 'stop'}) => {
		const {run, executor} = order;
		const remote = remotes.get(executor.id)!;
		const key = scheduler.getRunKey(run.task.id, run.number);
		call(
			(answer) => {
				remote.barred.add(key);
				finish(remote, key, 'stopped');
				answer();
			},
			orderTimeoutMs,
			(isAnswered) => {
				scheduler.applyStopAnswer(
					owner,
					run,
					isAnswered ? {kind: 'done', clockMs: now()} : {kind: 'no-answer'},
					now(),
				);
			},
		);
	};

	const lookAt = (executor: scheduler.Executor) => {
		const remote = remotes.get(executor.id)!;
		const sentAt = now();
		const acknowledged = executor.acknowledgedUpto;
		const mayWait =
			executor.unresponsiveSince === undefined && executor.isAdopted;
		const waitMs = mayWait ? lookWaitMs : 0;
		let seen: Omit<scheduler.ExecutorPoll, 'receivedAt' | 'sentAt'> | undefined;
		call(
			(answer) => {
				remote.ends = remote.ends.filter(({number}) => number > acknowledged);
				const reply = () => {
					if (!seen) {
						remote.wake = undefined;
						seen = {
							clockMs: now(),
							running: [...remote.running.values()],
							ends: [...remote.ends],
						};
						answer();
					}
				};

				if (remote.ends.length > 0 || waitMs === 0) {
					reply();
				} else {
					remote.wake = reply;
					at(now() + waitMs, reply);
				}
			},
			waitMs + orderTimeoutMs,
			(isAnswered) => {
				if (isAnswered && seen) {
					scheduler.applyPoll(owner, executor, {
						...seen,
						sentAt,
						receivedAt: now(),
					});
				} else {
					scheduler.markUnresponsive(owner, executor.id, now());
				}

				at(now() + planMs, () => {
					lookAt(executor);
				});
			},
		);
	};

	const plan = () => {
		scheduler.completeFlush(owner, scheduler.beginFlush(owner, 1000));
		for (const order of scheduler.planCommands(owner, now(), now())) {
			if (order.kind === 'start') {
				sendStart(order);
			} else if (order.kind === 'stop') {
				sendStop(order);
			}
		}

		at(now() + planMs, plan);
	};

	for (let index = 0; index < executorCount; index++) {
		const listed = createListed(`x${index}`, {
			capacity: {cpuMillis: 16_000, memoryMb: 65_000, accelerators: 0},
		});
		scheduler.recordListedExecutor(owner, listed);
		remotes.set(listed.id, {
			running: new Map(),
			barred: new Set(),
			ends: [],
			endCount: 0,
			wake: undefined,
		});
		lookAt(owner.executors.get(listed.id)!);
	}

	plan();
	return {owner, timeline, counts};
};

const links = [
	{name: 'a fast link', messageMs: 0.1, withinMs: 8000},
	{name: 'a link of 500 messages a second', messageMs: 2, withinMs: 16_000},
	{name: 'a link of 200 messages a second', messageMs: 5, withinMs: 40_000},
];

const jobCount = 150;
const tasksPerJob = 8;

tap.t.test('a backlog is worked off over any link', async (t) => {
	for (const {name, messageMs, withinMs} of links) {
		const {owner, timeline, counts} = createWorld(messageMs);
		for (let index = 0; index < jobCount; index++) {
			submit(
				owner,
				createAccepted(`j${index}`, [
					{
						count: tasksPerJob,
						estimateMs: taskMs,
						resources: {cpuMillis: 1000, memoryMb: 100, accelerators: 0},
					},
				]),
			);
		}

		timeline.runUntil(withinMs, () => owner.openJobs.size === 0);
		const report = JSON.stringify(counts);
		t.equal(owner.openJobs.size, 0, `${name}: jobs are left: ${report}`);
		t.ok(
			counts.unanswered <= counts.started / 20,
			`${name}: starts are given up: ${report}`,
		);
	}
});

/**
 * A small pool whose executors run each task for its estimate, and long-running
 * ones until they are stopped. Measures for how long jobs stand beside room.
 */
import * as scheduler from '../index.js';
import {
	createTestOwner,
	flushAll,
	pollExecutor,
} from '../owner.test.fixture.js';

/** Time between two plans, in milliseconds. */
const stepMs = 50;

/** Time from a stop to its end, in milliseconds. */
const stopMs = 100;

/** A job counts as standing beside room while less of the pool is in use. */
const maxUsedShare = 0.5;

export type SmallPoolOptions = {
	readonly executors: readonly scheduler.ListedExecutor[];
	/** Time from a start to the owner's receipt of the answer; 0 by default. */
	readonly answerMs?: number;
	readonly cfg?: scheduler.SchedulerConfig;
};

type RunClock = {readonly startedAt: number; stopAt: number | undefined};

/** How long a job has stood at most, in milliseconds. */
export type Standing = {
	/** In all. */
	readonly longestMs: number;
	/** While there was room for its task twice, and half of the pool was free. */
	readonly longestBesideRoomMs: number;
};

type OpenStanding = {
	since: number | undefined;
	besideRoomSince: number | undefined;
	longestMs: number;
	longestBesideRoomMs: number;
};

const countFits = (executor: scheduler.Executor, step: scheduler.Step) => {
	const free = scheduler.getFree(executor);
	const demand = scheduler.getDemand(step);
	return Math.min(
		...(['cpuMillis', 'memoryMb', 'accelerators'] as const).map((name) =>
			demand[name] > 0 ? Math.floor(free[name] / demand[name]) : Infinity,
		),
	);
};

export const simulateSmallPool = ({
	executors,
	answerMs = 0,
	cfg,
}: SmallPoolOptions) => {
	const owner = createTestOwner(executors, cfg);
	const clocks = new Map<scheduler.Run, RunClock>();
	const endNumbers = new Map<string, number>();
	const standing = new Map<string, OpenStanding>();
	const startedAt = new Map<string, number>();
	const answers: Array<{readonly at: number; readonly run: scheduler.Run}> = [];
	let endCount = 0;
	let now = 0;

	const findEnd = (run: scheduler.Run): scheduler.RunEnd | undefined => {
		const clock = clocks.get(run);
		if (clock?.stopAt !== undefined && now - clock.stopAt >= stopMs) {
			return 'stopped';
		}

		const {isLongRunning, estimateMs} = run.task.step.spec;
		const ranMs = now - (clock?.startedAt ?? now);
		return !isLongRunning && ranMs >= estimateMs ? 'done' : undefined;
	};

	const getPercent = (run: scheduler.Run): number => {
		const {isLongRunning, estimateMs} = run.task.step.spec;
		const ranMs = now - (clocks.get(run)?.startedAt ?? now);
		return isLongRunning ? 100 : Math.min(99, (100 * ranMs) / estimateMs);
	};

	const poll = (id: string) => {
		const runs = [...(owner.executors.get(id)?.runs.values() ?? [])];
		const ended = runs.flatMap((run) => {
			const how = findEnd(run);
			return how ? [{run, how}] : [];
		});
		const first = endNumbers.get(id) ?? 0;
		endNumbers.set(id, first + ended.length);
		endCount += ended.length;
		pollExecutor(owner, id, {
			at: now,
			running: runs
				.filter((run) => findEnd(run) === undefined)
				.map((run) => ({
					taskId: run.task.id,
					run: run.number,
					percent: getPercent(run),
				})),
			ends: ended.map(({run, how}, index) => ({
				taskId: run.task.id,
				run: run.number,
				how,
				number: first + index + 1,
			})),
		});
	};

	const answerStarts = () => {
		for (const answer of answers.filter(({at}) => at <= now)) {
			answers.splice(answers.indexOf(answer), 1);
			const {run} = answer;
			scheduler.applyStartAnswer(
				owner,
				run,
				{kind: 'started', clockMs: now},
				now,
			);
		}
	};

	const plan = () => {
		for (const command of scheduler.planCommands(owner, now, now)) {
			if (command.kind === 'start') {
				const {run} = command;
				clocks.set(run, {startedAt: now, stopAt: undefined});
				startedAt.set(run.task.id, now);
				answers.push({at: now + answerMs, run});
			} else if (command.kind === 'stop') {
				const clock = clocks.get(command.run);
				if (clock) {
					clock.stopAt = now;
				}
			}
		}

		answerStarts();
	};

	const isBesideRoom = (step: scheduler.Step): boolean => {
		const all = [...owner.executors.values()];
		const capacity = all.reduce((sum, each) => {
			return sum + each.listed.capacity.cpuMillis;
		}, 0);
		const used = all.reduce((sum, each) => sum + each.used.cpuMillis, 0);
		const fits = all.reduce((sum, each) => sum + countFits(each, step), 0);
		return fits >= 2 && used < maxUsedShare * capacity;
	};

	const measure = () => {
		for (const job of owner.openJobs) {
			const steps = [...job.occurrences.values()].flatMap((each) => each.steps);
			const tasks = steps.flatMap((each) => each.tasks);
			const ready = steps.find(
				(step) =>
					scheduler.isStepReady(step) &&
					step.tasks.some((task) => scheduler.isWaiting(task)),
			);
			const doesStand =
				ready !== undefined && tasks.every(({runs}) => runs.length === 0);
			const open = standing.get(job.accepted.id) ?? {
				since: undefined,
				besideRoomSince: undefined,
				longestMs: 0,
				longestBesideRoomMs: 0,
			};
			standing.set(job.accepted.id, open);
			open.since = doesStand ? (open.since ?? now) : undefined;
			open.besideRoomSince =
				doesStand && isBesideRoom(ready)
					? (open.besideRoomSince ?? now)
					: undefined;
			open.longestMs = Math.max(open.longestMs, now - (open.since ?? now));
			open.longestBesideRoomMs = Math.max(
				open.longestBesideRoomMs,
				now - (open.besideRoomSince ?? now),
			);
		}
	};

	return {
		owner,
		startedAt,
		now: () => now,
		countEnds: () => endCount,
		submit(job: scheduler.AcceptedJob) {
			const accepted = {...job, acceptedAtEpochMs: now};
			const added = scheduler.addJob(owner, accepted, false, now);
			scheduler.advanceSchedules(owner, now);
			return added;
		},
		/** Runs until then; `act` is called before each plan. */
		advanceTo(until: number, act: (now: number) => void = () => undefined) {
			while (now < until) {
				now += stepMs;
				for (const id of owner.executors.keys()) {
					poll(id);
				}

				flushAll(owner);
				act(now);
				plan();
				measure();
			}
		},
		/** Measures anew from now on. */
		clearStanding() {
			standing.clear();
		},
		getStanding: (job: string): Standing =>
			standing.get(job) ?? {longestMs: 0, longestBesideRoomMs: 0},
	};
};

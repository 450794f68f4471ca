/**
 * Executors in memory that run tasks under leases and fencing tokens. Their
 * clock and the ends of their tasks are moved by whoever holds them.
 */
import type {scheduler} from '@gullstand/core';
import type {
	Executors,
	ExecutorTarget,
	PollRequest,
	RunCommand,
	StartCommand,
} from '../ports/executors.js';

/** How an executor treats the calls to it. */
export type ExecutorFault =
	/** No answer, and nothing is done. */
	| 'silent'
	/** No answer, and it is done. */
	| 'lost-answer';

type LiveRun = {
	readonly taskId: string;
	readonly run: number;
	readonly payload: string;
	checkpoint: string;
	percent: number;
	load: number;
	pacePercent: number;
};

/** One start that was carried out, for a test's judgement. */
export type StartRecord = {
	readonly executorId: string;
	readonly taskId: string;
	readonly run: number;
	readonly payload: string;
	readonly fencingToken: number;
};

type Life = {
	readonly listed: scheduler.ListedExecutor;
	readonly running: Map<string, LiveRun>;
	readonly barred: Map<string, number>;
	ends: scheduler.ListedEnd[];
	nextEnd: number;
	fencingToken: number;
	leaseUntil: number;
	fault: ExecutorFault | undefined;
	wake: (() => void) | undefined;
};

/** Executors in memory and what tests do with them. */
export type MemoryExecutors = Executors & {
	readonly add: (listed: scheduler.ListedExecutor) => void;
	/** Ends one life; what ran there is gone. */
	readonly remove: (id: string) => void;
	readonly setFault: (id: string, fault: ExecutorFault | undefined) => void;
	/** Lets a run end. */
	readonly finish: (id: string, taskId: string, how: scheduler.RunEnd) => void;
	readonly setProgress: (
		id: string,
		taskId: string,
		progress: {readonly percent?: number; readonly load?: number},
	) => void;
	readonly listRunning: (
		id: string,
	) => ReadonlyArray<{readonly taskId: string; readonly run: number}>;
	readonly listStarts: () => readonly StartRecord[];
	readonly countPolls: () => number;
	/** Called with each start that is carried out. */
	onStart: ((record: StartRecord) => void) | undefined;
};

/** Creates executors whose clocks show `now`. */
export const createMemoryExecutors = (now: () => number): MemoryExecutors => {
	const lives = new Map<string, Life>();
	const starts: StartRecord[] = [];
	let looks = 0;

	const end = (life: Life, run: LiveRun, how: scheduler.RunEnd) => {
		life.running.delete(run.taskId);
		life.barred.set(run.taskId, run.run);
		life.ends.push({
			number: life.nextEnd,
			taskId: run.taskId,
			run: run.run,
			how,
			checkpoint: run.checkpoint,
		});
		life.nextEnd += 1;
		life.wake?.();
	};

	const lapse = (life: Life) => {
		if (now() > life.leaseUntil) {
			for (const run of life.running.values()) {
				end(life, run, 'lapsed');
			}
		}
	};

	const isFenced = (life: Life, fencingToken: number): boolean => {
		if (fencingToken < life.fencingToken) {
			return true;
		}

		life.fencingToken = fencingToken;
		return false;
	};

	const find = (target: ExecutorTarget): Life | undefined =>
		lives.get(target.id);

	const isReplaced = (target: ExecutorTarget): boolean =>
		[...lives.values()].some(
			({listed}) =>
				listed.address === target.address && listed.id !== target.id,
		);

	const start = (life: Life, order: StartCommand): scheduler.StartAnswer => {
		const clockMs = now();
		if (isFenced(life, order.fencingToken)) {
			return {kind: 'fenced'};
		}

		if (order.leaseEndMs <= clockMs) {
			return {kind: 'refused', reason: 'too-late', clockMs};
		}

		life.leaseUntil = Math.max(life.leaseUntil, order.leaseEndMs);
		const known = life.running.get(order.taskId);
		if (known?.run === order.run) {
			return {kind: 'started', clockMs};
		}

		const isOld = order.run <= (life.barred.get(order.taskId) ?? 0);
		if (isOld || known) {
			return {kind: 'refused', reason: 'outdated-run', clockMs};
		}

		const {taskId, run, payload} = order;
		const checkpoint = order.checkpoint ?? '';
		life.running.set(taskId, {
			taskId,
			run,
			payload,
			checkpoint,
			percent: 0,
			load: 0,
			pacePercent: 100,
		});
		const record = {
			executorId: life.listed.id,
			taskId,
			run,
			payload,
			fencingToken: order.fencingToken,
		};
		starts.push(record);
		executors.onStart?.(record);
		return {kind: 'started', clockMs};
	};

	const stop = (life: Life, order: RunCommand): scheduler.CommandAnswer => {
		if (isFenced(life, order.fencingToken)) {
			return {kind: 'fenced'};
		}

		const run = life.running.get(order.taskId);
		if (run?.run === order.run) {
			end(life, run, 'stopped');
		}

		const barred = life.barred.get(order.taskId) ?? 0;
		life.barred.set(order.taskId, Math.max(barred, order.run));
		return {kind: 'done', clockMs: now()};
	};

	const takeLookOrder = (life: Life, order: PollRequest) => {
		life.ends = life.ends.filter(({number}) => number > order.acknowledgedUpto);
		if (order.leaseEndMs !== undefined) {
			life.leaseUntil = Math.max(life.leaseUntil, order.leaseEndMs);
		}
	};

	const waitForEnd = async (life: Life, ms: number): Promise<void> =>
		new Promise((resolve) => {
			const timer = setTimeout(resolve, ms);
			life.wake = () => {
				clearTimeout(timer);
				resolve();
			};
		});

	const answer = async <Answer>(
		target: ExecutorTarget,
		timeoutMs: number,
		action: (life: Life) => Answer | Promise<Answer>,
	): Promise<Answer | {readonly kind: 'no-answer' | 'other-life'}> => {
		await Promise.resolve();
		const life = find(target);
		if (!life && isReplaced(target)) {
			return {kind: 'other-life'};
		}

		if (!life || life.fault === 'silent') {
			await new Promise((resolve) => {
				setTimeout(resolve, timeoutMs);
			});
			return {kind: 'no-answer'};
		}

		lapse(life);
		const result = await action(life);
		return life.fault === 'lost-answer' ? {kind: 'no-answer'} : result;
	};

	const executors: MemoryExecutors = {
		onStart: undefined,
		start: async (target, order, timeoutMs) =>
			answer(target, timeoutMs, (life) => start(life, order)),
		stop: async (target, order, timeoutMs) =>
			answer(target, timeoutMs, (life) => stop(life, order)),
		throttle: async (target, order, timeoutMs) =>
			answer(target, timeoutMs, (life): scheduler.CommandAnswer => {
				const run = life.running.get(order.taskId);
				if (run) {
					run.pacePercent = order.percent;
				}

				return {kind: 'done', clockMs: now()};
			}),
		async poll(target, order, timeoutMs) {
			looks += 1;
			return answer(target, timeoutMs, async (life) => {
				if (isFenced(life, order.fencingToken)) {
					return {kind: 'fenced'} as const;
				}

				takeLookOrder(life, order);
				if (life.ends.length === 0 && order.waitMs > 0) {
					await waitForEnd(life, order.waitMs);
				}

				return {
					kind: 'seen',
					clockMs: now(),
					running: [...life.running.values()],
					ends: [...life.ends],
				} as const;
			});
		},
		closeConnections: () => undefined,
		add(listed) {
			lives.set(listed.id, {
				listed,
				running: new Map(),
				barred: new Map(),
				ends: [],
				nextEnd: 1,
				fencingToken: 0,
				leaseUntil: 0,
				fault: undefined,
				wake: undefined,
			});
		},
		remove(id) {
			lives.delete(id);
		},
		setFault(id, fault) {
			const life = lives.get(id);
			if (life) {
				life.fault = fault;
			}
		},
		finish(id, taskId, how) {
			const life = lives.get(id);
			const run = life?.running.get(taskId);
			if (life && run) {
				end(life, run, how);
			}
		},
		setProgress(id, taskId, progress) {
			const run = lives.get(id)?.running.get(taskId);
			if (run) {
				run.percent = progress.percent ?? run.percent;
				run.load = progress.load ?? run.load;
			}
		},
		listRunning: (id) => [...(lives.get(id)?.running.values() ?? [])],
		listStarts: () => starts,
		countPolls: () => looks,
	};
	return executors;
};

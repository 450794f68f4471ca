/**
 * Executors in memory that run tasks under leases and fencing tokens. The caller
 * controls their clock and ends their runs.
 */
import {setImmediate} from 'node:timers/promises';
import type {scheduler} from '@gullstand/core';
import type {
	Executors,
	ExecutorTarget,
	PollRequest,
	RunCommand,
	StartCommand,
} from '../ports/executors.js';

/** Fault of all calls to an executor. */
export type ExecutorFault =
	/** Calls time out without effect. */
	| 'silent'
	/** Calls take effect, but their answers are lost. */
	| 'lost-answer'
	/** Calls take no effect until they are delivered. */
	| 'held-call'
	/** Calls take effect, but their answers wait until they are delivered. */
	| 'held-answer';

type LiveRun = {
	readonly taskId: string;
	readonly run: number;
	readonly payload: string;
	checkpoint: string;
	percent: number;
	load: number;
	speedLimitPercent: number;
};

/** A start that was carried out, for checks of tests. */
export type StartRecord = {
	readonly executorId: string;
	readonly taskId: string;
	readonly run: number;
	readonly payload: string;
	readonly fencingToken: number;
};

type Incarnation = {
	readonly listed: scheduler.ListedExecutor;
	/** Time at which its clock showed 0. */
	readonly clockOrigin: number;
	readonly running: Map<string, LiveRun>;
	readonly lastEndedRuns: Map<string, number>;
	ends: scheduler.ListedEnd[];
	nextEnd: number;
	fencingToken: number;
	leaseUntil: number;
	fault: ExecutorFault | undefined;
	wake: (() => void) | undefined;
};

type Action<Answer> = (incarnation: Incarnation) => Answer | Promise<Answer>;

type NoAnswer = {readonly kind: 'no-answer' | 'other-life'};

/** Executors in memory with controls for tests. */
export type MemoryExecutors = Executors & {
	/** Adds an executor that was started `upMs` before the time 0. */
	readonly add: (listed: scheduler.ListedExecutor, upMs?: number) => void;
	/** Terminates one incarnation with all its runs. */
	readonly remove: (id: string) => void;
	/**
	 * Starts a new incarnation with the id of `listed`: it has no runs or ends,
	 * knows no fencing token, and its clock and its numbers of ends start anew.
	 * Calls held for the previous incarnation stay held.
	 */
	readonly restart: (listed: scheduler.ListedExecutor) => void;
	/**
	 * Delivers the held calls and answers of an id: the incarnation that has it
	 * now carries the calls out. A caller that has waited for longer than its
	 * timeout does not get the answer. Returns their number.
	 */
	readonly deliverHeld: (id: string) => number;
	readonly setFault: (id: string, fault: ExecutorFault | undefined) => void;
	/** Ends a run. */
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

/**
 * Creates executors whose clocks show `now`, until they are restarted. They cut
 * leases to `maxLeaseMs`.
 */
export const createMemoryExecutors = (
	now: () => number,
	maxLeaseMs = 10_000,
): MemoryExecutors => {
	const incarnations = new Map<string, Incarnation>();
	/** Held calls and answers by id. */
	const held = new Map<string, Array<() => void>>();
	const starts: StartRecord[] = [];
	let polls = 0;

	const end = (
		incarnation: Incarnation,
		run: LiveRun,
		how: scheduler.RunEnd,
	) => {
		incarnation.running.delete(run.taskId);
		incarnation.lastEndedRuns.set(run.taskId, run.run);
		incarnation.ends.push({
			number: incarnation.nextEnd,
			taskId: run.taskId,
			run: run.run,
			how,
			checkpoint: run.checkpoint,
		});
		incarnation.nextEnd += 1;
		incarnation.wake?.();
	};

	const getClockMs = ({clockOrigin}: Incarnation): number =>
		now() - clockOrigin;

	const expireLease = (incarnation: Incarnation) => {
		if (getClockMs(incarnation) > incarnation.leaseUntil) {
			for (const run of incarnation.running.values()) {
				end(incarnation, run, 'lapsed');
			}
		}
	};

	const extendLease = (incarnation: Incarnation, leaseEndMs: number) => {
		const latest = getClockMs(incarnation) + maxLeaseMs;
		incarnation.leaseUntil = Math.max(
			incarnation.leaseUntil,
			Math.min(leaseEndMs, latest),
		);
	};

	const isFenced = (
		incarnation: Incarnation,
		fencingToken: number,
	): boolean => {
		if (fencingToken < incarnation.fencingToken) {
			return true;
		}

		incarnation.fencingToken = fencingToken;
		return false;
	};

	const findIncarnation = (target: ExecutorTarget): Incarnation | undefined =>
		incarnations.get(target.id);

	const isReplaced = (target: ExecutorTarget): boolean =>
		[...incarnations.values()].some(
			({listed}) =>
				listed.address === target.address && listed.id !== target.id,
		);

	const start = (
		incarnation: Incarnation,
		command: StartCommand,
	): scheduler.StartAnswer => {
		const clockMs = getClockMs(incarnation);
		if (isFenced(incarnation, command.fencingToken)) {
			return {kind: 'fenced'};
		}

		if (command.leaseEndMs <= clockMs) {
			return {kind: 'refused', reason: 'too-late', clockMs};
		}

		extendLease(incarnation, command.leaseEndMs);
		const known = incarnation.running.get(command.taskId);
		if (known?.run === command.run) {
			return {kind: 'started', clockMs};
		}

		const isOld =
			command.run <= (incarnation.lastEndedRuns.get(command.taskId) ?? 0);
		if (isOld || known) {
			return {kind: 'refused', reason: 'outdated-run', clockMs};
		}

		const {taskId, run, payload} = command;
		const checkpoint = command.checkpoint ?? '';
		incarnation.running.set(taskId, {
			taskId,
			run,
			payload,
			checkpoint,
			percent: 0,
			load: 0,
			speedLimitPercent: 100,
		});
		const record = {
			executorId: incarnation.listed.id,
			taskId,
			run,
			payload,
			fencingToken: command.fencingToken,
		};
		starts.push(record);
		executors.onStart?.(record);
		return {kind: 'started', clockMs};
	};

	const stop = (
		incarnation: Incarnation,
		command: RunCommand,
	): scheduler.CommandAnswer => {
		if (isFenced(incarnation, command.fencingToken)) {
			return {kind: 'fenced'};
		}

		const run = incarnation.running.get(command.taskId);
		if (run?.run === command.run) {
			end(incarnation, run, 'stopped');
		}

		const lastEndedRun = incarnation.lastEndedRuns.get(command.taskId) ?? 0;
		incarnation.lastEndedRuns.set(
			command.taskId,
			Math.max(lastEndedRun, command.run),
		);
		return {kind: 'done', clockMs: getClockMs(incarnation)};
	};

	const applyPoll = (incarnation: Incarnation, req: PollRequest) => {
		incarnation.ends = incarnation.ends.filter(
			({number}) => number > req.acknowledgedUpto,
		);
		if (req.leaseEndMs !== undefined) {
			extendLease(incarnation, req.leaseEndMs);
		}
	};

	const waitForEnd = async (
		incarnation: Incarnation,
		ms: number,
	): Promise<void> =>
		new Promise((resolve) => {
			const timer = setTimeout(resolve, ms);
			incarnation.wake = () => {
				clearTimeout(timer);
				resolve();
			};
		});

	const carryOut = async <Answer>(
		incarnation: Incarnation,
		action: Action<Answer>,
	): Promise<Answer> => {
		expireLease(incarnation);
		return action(incarnation);
	};

	const hold = (id: string, deliver: () => void) => {
		held.set(id, [...(held.get(id) ?? []), deliver]);
	};

	/** Resolves as a held call or answer is delivered, at the latest in time. */
	const waitForDelivery = async <Answer>(
		{id}: ExecutorTarget,
		timeoutMs: number,
		deliver: () => Promise<Answer | NoAnswer>,
	): Promise<Answer | NoAnswer> =>
		new Promise((resolve) => {
			const timer = setTimeout(() => {
				resolve({kind: 'no-answer'});
			}, timeoutMs);
			hold(id, async () => {
				resolve(await deliver());
				clearTimeout(timer);
			});
		});

	const answer = async <Answer>(
		target: ExecutorTarget,
		timeoutMs: number,
		action: Action<Answer>,
	): Promise<Answer | NoAnswer> => {
		// A call takes a turn of the event loop, also one that is refused at once.
		await setImmediate();
		const incarnation = findIncarnation(target);
		if (!incarnation && isReplaced(target)) {
			return {kind: 'other-life'};
		}

		if (!incarnation || incarnation.fault === 'silent') {
			await new Promise((resolve) => {
				setTimeout(resolve, timeoutMs);
			});
			return {kind: 'no-answer'};
		}

		if (incarnation.fault === 'held-call') {
			return waitForDelivery(target, timeoutMs, async () => {
				const present = findIncarnation(target);
				return present ? carryOut(present, action) : {kind: 'no-answer'};
			});
		}

		const result = await carryOut(incarnation, action);
		if (incarnation.fault === 'held-answer') {
			return waitForDelivery(target, timeoutMs, async () => result);
		}

		const isTerminated = findIncarnation(target) !== incarnation;
		return isTerminated || incarnation.fault === 'lost-answer'
			? {kind: 'no-answer'}
			: result;
	};

	const startIncarnation = (
		listed: scheduler.ListedExecutor,
		clockOrigin: number,
	) => {
		incarnations.set(listed.id, {
			listed,
			clockOrigin,
			running: new Map(),
			lastEndedRuns: new Map(),
			ends: [],
			nextEnd: 1,
			fencingToken: 0,
			leaseUntil: 0,
			fault: undefined,
			wake: undefined,
		});
	};

	const remove = (id: string) => {
		const incarnation = incarnations.get(id);
		incarnations.delete(id);
		incarnation?.wake?.();
	};

	const executors: MemoryExecutors = {
		onStart: undefined,
		start: async (target, command, timeoutMs) =>
			answer(target, timeoutMs, (incarnation) => start(incarnation, command)),
		stop: async (target, command, timeoutMs) =>
			answer(target, timeoutMs, (incarnation) => stop(incarnation, command)),
		throttle: async (target, command, timeoutMs) =>
			answer(target, timeoutMs, (incarnation): scheduler.CommandAnswer => {
				const run = incarnation.running.get(command.taskId);
				if (run) {
					run.speedLimitPercent = command.percent;
				}

				return {kind: 'done', clockMs: getClockMs(incarnation)};
			}),
		async poll(target, req, timeoutMs) {
			polls += 1;
			return answer(target, timeoutMs, async (incarnation) => {
				if (isFenced(incarnation, req.fencingToken)) {
					return {kind: 'fenced'} as const;
				}

				applyPoll(incarnation, req);
				if (incarnation.ends.length === 0 && req.waitMs > 0) {
					await waitForEnd(incarnation, req.waitMs);
				}

				return {
					kind: 'seen',
					startedAtEpochMs: incarnation.listed.startedAtEpochMs,
					clockMs: getClockMs(incarnation),
					running: [...incarnation.running.values()],
					ends: [...incarnation.ends],
				} as const;
			});
		},
		closeConnections: () => undefined,
		add(listed, upMs = 0) {
			startIncarnation(listed, -upMs);
		},
		remove,
		restart(listed) {
			remove(listed.id);
			startIncarnation(listed, now());
		},
		deliverHeld(id) {
			const due = held.get(id) ?? [];
			held.delete(id);
			for (const deliver of due) {
				deliver();
			}

			return due.length;
		},
		setFault(id, fault) {
			const incarnation = incarnations.get(id);
			if (incarnation) {
				incarnation.fault = fault;
			}
		},
		finish(id, taskId, how) {
			const incarnation = incarnations.get(id);
			const run = incarnation?.running.get(taskId);
			if (incarnation && run) {
				end(incarnation, run, how);
			}
		},
		setProgress(id, taskId, progress) {
			const run = incarnations.get(id)?.running.get(taskId);
			if (run) {
				run.percent = progress.percent ?? run.percent;
				run.load = progress.load ?? run.load;
			}
		},
		listRunning(id) {
			const incarnation = incarnations.get(id);
			if (!incarnation) {
				return [];
			}

			expireLease(incarnation);
			return [...incarnation.running.values()];
		},
		listStarts: () => starts,
		countPolls: () => polls,
	};
	return executors;
};

/**
 * The calls of one owner to one executor: looks, one after another, which
 * renew the leases and bring what has ended, and the orders between them.
 */
import {scheduler} from '@gullstand/core';
import type {Executors, ExecutorTarget, PollAnswer} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import {delay} from '../clock.js';
import {createPause} from '../pause.js';
import {periods} from '../periods.js';

/** What a link needs. */
export type ExecutorLinkDeps = {
	readonly owner: scheduler.Owner;
	readonly executor: scheduler.Executor;
	readonly executors: Executors;
	readonly now: () => number;
	/** Whether this daemon may count on being the owner. */
	readonly isOwnershipConfirmed: () => boolean;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Something changed that may allow or call for orders. */
	readonly onChange: () => void;
	readonly onPoll: (changes: scheduler.PollChanges) => void;
	readonly onFenced: () => void;
	readonly onOtherIncarnation: () => void;
	/** The answer to a start, for the metrics. */
	readonly onStartAnswer: (
		run: scheduler.Run,
		answer: scheduler.StartAnswer['kind'],
	) => void;
};

/** An order about one run. */
type RunOrder = Exclude<scheduler.Command, {readonly kind: 'advise'}>;

/** A link at work. */
export type ExecutorLink = {
	/** Looks now rather than at the next occasion. */
	readonly pollNow: () => void;
	/** Ends may be acknowledged that could not be before. */
	readonly notifyAckable: () => void;
	readonly close: () => void;
	readonly send: (order: RunOrder) => void;
	readonly sendThrottle: (order: scheduler.ThrottleCommand) => void;
};

type State = {
	isClosed: boolean;
	isPoked: boolean;
	ackSent: number;
	retryMs: number;
};

/** Opens a link; it looks at once. */
export const openExecutorLink = (deps: ExecutorLinkDeps): ExecutorLink => {
	const {owner, executor, executors, now, logger} = deps;
	const target: ExecutorTarget = {
		id: executor.id,
		address: executor.listed.address,
	};
	const state: State = {
		isClosed: false,
		isPoked: true,
		ackSent: 0,
		retryMs: periods.pollRetryMs,
	};

	/** Of a link with nothing to look for. */
	const sleep = createPause();
	/** Until ends may be acknowledged. */
	const ackPause = createPause();
	/** Between two looks. */
	const lookGap = createPause();

	const needsLook = (): boolean =>
		!executor.isAdopted ||
		executor.runs.size > 0 ||
		executor.orphanedRunCount > 0 ||
		executor.acknowledgedUpto > state.ackSent ||
		executor.unresponsiveSince !== undefined ||
		state.isPoked;

	/** Ends that the executor lists again until they are acknowledged. */
	const hasUnacked = (): boolean =>
		executor.lastEndNumber > executor.acknowledgedUpto;

	const pauseForAck = async () => {
		if (hasUnacked() && !state.isPoked) {
			await ackPause.wait(periods.ackPauseMs);
		}
	};

	/** Ends that come meanwhile are listed together by the next look. */
	const pauseForGap = async (seenAt: number) => {
		const gapMs = scheduler.getMinPollIntervalMs(owner.startWindow);
		const restMs = gapMs - (now() - seenAt);
		if (restMs >= periods.minPollGapMs && !state.isPoked) {
			await lookGap.wait(restMs);
		}
	};

	const takeSeen = (answer: PollAnswer & {kind: 'seen'}, sentAt: number) => {
		state.retryMs = periods.pollRetryMs;
		const {clockMs, running, ends} = answer;
		const look = {sentAt, receivedAt: now(), clockMs, running, ends};
		const wasSilentFrom = executor.unresponsiveSince;
		const changes = scheduler.applyPoll(owner, executor, look);
		if (changes.isFirst || wasSilentFrom !== undefined) {
			logger.info('executor answers', {
				executor: executor.id,
				address: target.address,
				running: running.length,
				ends: ends.length,
				silentMs:
					wasSilentFrom === undefined
						? undefined
						: Math.round(now() - wasSilentFrom),
			});
		}

		for (const {taskId, run} of changes.orphanedRuns) {
			void stopStray(taskId, run);
		}

		deps.onPoll(changes);
	};

	const stopStray = async (taskId: string, run: number) => {
		const order = {taskId, run, fencingToken: owner.token};
		const answer = await executors.stop(
			target,
			order,
			periods.commandTimeoutMs,
		);
		logger.info('run of no known task stopped', {
			task: taskId,
			run,
			executor: executor.id,
			outcome: answer.kind,
		});
	};

	const noteNoAnswer = async () => {
		if (executor.unresponsiveSince === undefined) {
			logger.warn('executor does not answer', {
				executor: executor.id,
				address: target.address,
				runs: executor.runs.size,
			});
		}

		scheduler.markUnresponsive(owner, executor.id, now());
		deps.onChange();
		await delay(state.retryMs);
		state.retryMs = Math.min(2 * state.retryMs, periods.pollRetryMaxMs);
	};

	const lookOnce = async () => {
		const isQuiet =
			executor.isAdopted && executor.unresponsiveSince === undefined;
		const {acknowledgedUpto} = executor;
		const isBusy = executor.runs.size > 0 || executor.orphanedRunCount > 0;
		const mayWait = isQuiet && !state.isPoked && isBusy;
		const waitMs = mayWait ? periods.pollWaitMs : 0;
		state.isPoked = false;
		const mayGrant =
			scheduler.mayGrantLease(executor) && deps.isOwnershipConfirmed();
		const leaseEndMs =
			executor.runs.size > 0 && mayGrant
				? scheduler.grantLease(executor, owner.cfg.taskLeaseMs, now())
				: undefined;
		const sentAt = now();
		const answer = await executors.poll(
			target,
			{fencingToken: owner.token, acknowledgedUpto, leaseEndMs, waitMs},
			waitMs + periods.pollTimeoutMs,
		);
		if (state.isClosed) {
			return;
		}

		await match(answer)
			.with({kind: 'seen'}, async (seen) => {
				state.ackSent = Math.max(state.ackSent, acknowledgedUpto);
				takeSeen(seen, sentAt);
				const seenAt = now();
				await pauseForAck();
				await pauseForGap(seenAt);
			})
			.with({kind: 'fenced'}, async () => {
				deps.onFenced();
			})
			.with({kind: 'other-life'}, async () => {
				deps.onOtherIncarnation();
			})
			.with({kind: 'no-answer'}, noteNoAnswer)
			.exhaustive();
	};

	const run = async () => {
		while (!state.isClosed) {
			await (needsLook() ? lookOnce() : sleep.wait());
		}
	};

	const poke = () => {
		state.isPoked = true;
		sleep.end();
		ackPause.end();
		lookGap.end();
	};

	const follow = (effect: scheduler.AnswerEffect) => {
		match(effect)
			.with('none', () => undefined)
			.with('fenced', () => {
				deps.onFenced();
			})
			.with('other-life', () => {
				deps.onOtherIncarnation();
			})
			.with('look-again', poke)
			.exhaustive();
		sleep.end();
		deps.onChange();
	};

	const sendStart = async (order: scheduler.Command & {kind: 'start'}) => {
		const {run: started, leaseEndMs} = order;
		const {task, number} = started;
		const answer = await executors.start(
			target,
			{
				taskId: task.id,
				run: number,
				payload: task.step.occurrence.job.accepted.spec.payload,
				leaseEndMs,
				fencingToken: owner.token,
				checkpoint: task.checkpoint,
				ticket: order.ticket,
			},
			periods.commandTimeoutMs,
		);
		if (state.isClosed) {
			return;
		}

		logger.info('task start', {
			task: task.id,
			run: number,
			executor: executor.id,
			outcome: answer.kind,
			reason: answer.kind === 'refused' ? answer.reason : undefined,
			leaseEndMs,
			failures: task.failures,
			tookMs: Math.round(now() - started.askedAt),
		});
		deps.onStartAnswer(started, answer.kind);
		follow(scheduler.applyStartAnswer(owner, started, answer, now()));
	};

	const sendStop = async (order: scheduler.Command & {kind: 'stop'}) => {
		const {run: stopped, reason} = order;
		const {task, number} = stopped;
		const answer = await executors.stop(
			target,
			{taskId: task.id, run: number, fencingToken: owner.token},
			periods.commandTimeoutMs,
		);
		if (state.isClosed) {
			return;
		}

		logger.info('task stop', {
			task: task.id,
			run: number,
			executor: executor.id,
			reason,
			outcome: answer.kind,
			percent: stopped.percent,
		});
		follow(scheduler.applyStopAnswer(owner, stopped, answer, now()));
	};

	const sendPace = async ({
		run: paced,
		percent,
		tailShare,
	}: scheduler.ThrottleCommand) => {
		const {task, number} = paced;
		const before = paced.speedLimitPercent;
		paced.speedLimitPercent = percent;
		const answer = await executors.throttle(
			target,
			{taskId: task.id, run: number, fencingToken: owner.token, percent},
			periods.commandTimeoutMs,
		);
		logger.info('task paced', {
			task: task.id,
			run: number,
			executor: executor.id,
			percent,
			before,
			tailShare: Math.round(100 * tailShare) / 100,
			outcome: answer.kind,
		});
		if (answer.kind !== 'done') {
			paced.speedLimitPercent = before;
		}
	};

	void run();
	return {
		pollNow: poke,
		notifyAckable() {
			sleep.end();
			ackPause.end();
		},
		close() {
			state.isClosed = true;
			sleep.end();
			ackPause.end();
			lookGap.end();
			executors.closeConnections(target);
		},
		send(order) {
			void (order.kind === 'start' ? sendStart(order) : sendStop(order));
			// A look that brings its end must be under way.
			sleep.end();
		},
		sendThrottle(order) {
			void sendPace(order);
		},
	};
};

/**
 * Communication of one owner with one executor: sequential polls, which renew
 * the leases and list runs and ends, and commands sent in between.
 */
import {scheduler} from '@gullstand/core';
import type {Executors, ExecutorTarget, PollAnswer} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {delay} from '../clock.js';
import {createPause} from '../pause.js';
import {periods} from '../periods.js';

export type ExecutorLinkDeps = {
	readonly owner: scheduler.Owner;
	readonly executor: scheduler.Executor;
	readonly executors: Executors;
	readonly now: () => number;
	/** Whether the store has recently confirmed that this daemon is the owner. */
	readonly isOwnershipConfirmed: () => boolean;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called with an exception, which ends the polls. */
	readonly reportFailure: ReportFailure;
	/** Called when the owner's state changed, to store it and plan again. */
	readonly onChange: () => void;
	readonly onPoll: (changes: scheduler.PollChanges) => void;
	readonly onFenced: () => void;
	/**
	 * Called with the answer to a start before it is applied, and also if the
	 * link was closed before it came.
	 */
	readonly onStartAnswer: (
		run: scheduler.Run,
		answer: scheduler.StartAnswer,
	) => void;
};

export type ExecutorLink = {
	/** Polls without waiting for the current pause to end. */
	readonly pollNow: () => void;
	/** Ends a pause: more ends of runs may be acknowledged. */
	readonly notifyAckable: () => void;
	readonly close: () => void;
	readonly send: (command: scheduler.Command) => void;
	readonly sendThrottle: (command: scheduler.ThrottleCommand) => void;
};

/** Rest of a lease by the executor's clock in its answer, in milliseconds. */
const getLeaseLeft = (
	answer: scheduler.StartAnswer,
	leaseEndMs: number,
): number | undefined =>
	'clockMs' in answer && answer.clockMs !== undefined
		? leaseEndMs - answer.clockMs
		: undefined;

type State = {
	isClosed: boolean;
	isPollRequested: boolean;
	/** Highest end number acknowledged by a poll that was answered. */
	ackSent: number;
	/** Since when an acknowledgement has waited; absent if none does. */
	ackWaitsSince: number | undefined;
	retryMs: number;
};

/** Opens a link and sends the first poll. */
export const openExecutorLink = (deps: ExecutorLinkDeps): ExecutorLink => {
	const {owner, executor, executors, now, logger} = deps;
	let target: ExecutorTarget = {
		id: executor.id,
		address: executor.listed.address,
	};

	/** An executor that starts again may have another address. */
	const getTarget = (): ExecutorTarget => {
		const {address} = executor.listed;
		if (address !== target.address) {
			executors.closeConnections(target);
			target = {id: executor.id, address};
		}

		return target;
	};

	/** The connections may lead to the process that had the address before. */
	const reconnectAfter = ({
		kind,
	}: {
		readonly kind:
			| (scheduler.StartAnswer | scheduler.CommandAnswer)['kind']
			| PollAnswer['kind'];
	}) => {
		if (kind === 'other-life') {
			executors.closeConnections(getTarget());
		}
	};

	const state: State = {
		isClosed: false,
		isPollRequested: true,
		ackSent: 0,
		ackWaitsSince: undefined,
		retryMs: periods.pollRetryMs,
	};

	/** While there is nothing to poll for. */
	const idlePause = createPause();
	/** Until the listed ends may be acknowledged. */
	const ackPause = createPause();
	/** Between two polls. */
	const pollGap = createPause();

	/** Time until the reading of its clock must be renewed. */
	const getReadingLeftMs = (): number => {
		const ageMs = scheduler.getClockReadingAge(executor, now());
		return Math.max(0, periods.idlePollMs - (ageMs ?? 0));
	};

	const needsPoll = (): boolean =>
		!executor.isAdopted ||
		!executor.isFenced ||
		getReadingLeftMs() === 0 ||
		executor.runs.size > 0 ||
		executor.orphanedRunCount > 0 ||
		executor.acknowledgedUpto > state.ackSent ||
		executor.unresponsiveSince !== undefined ||
		scheduler.isRestartListed(executor) ||
		state.isPollRequested;

	/** Whether the executor would list ends again in the next poll. */
	const hasUnacked = (): boolean =>
		executor.lastEndNumber > executor.acknowledgedUpto;

	const pauseForAck = async () => {
		if (hasUnacked() && !state.isPollRequested) {
			await ackPause.wait(periods.ackPauseMs);
		}
	};

	/** An executor whose ends wait for an acknowledgement answers at once. */
	const pauseForStarts = async () => {
		if (state.ackWaitsSince !== undefined) {
			await ackPause.wait(periods.ackPauseMs);
		}
	};

	/** Waits, so that one poll lists several ends. */
	const pauseForGap = async (answeredAt: number) => {
		const gapMs = scheduler.getMinPollIntervalMs(owner.startWindow);
		// The listed incarnation does not answer yet, and is polled until it does.
		const minGapMs = scheduler.isRestartListed(executor)
			? periods.pollRetryMs
			: 0;
		const remainingMs = Math.max(minGapMs, gapMs) - (now() - answeredAt);
		if (remainingMs >= periods.minPollGapMs && !state.isPollRequested) {
			await pollGap.wait(remainingMs);
		}
	};

	const getFencingToken = (): number =>
		scheduler.getFencingToken(owner, executor);

	/** Rest of leases that commands for an earlier incarnation may have brought. */
	const getStrayLeasesMs = (): number | undefined => {
		const leftMs = executor.strayLeasesUntil - now();
		return leftMs > 0 ? Math.round(leftMs) : undefined;
	};

	const applyAnswer = (
		answer: PollAnswer & {kind: 'seen'},
		{
			sentAt,
			fencingToken,
		}: Pick<scheduler.ExecutorPoll, 'sentAt' | 'fencingToken'>,
	) => {
		state.retryMs = periods.pollRetryMs;
		const {startedAtEpochMs, clockMs, running, ends} = answer;
		const poll = {
			fencingToken,
			sentAt,
			receivedAt: now(),
			startedAtEpochMs,
			clockMs,
			running,
			ends,
		};
		const wasUnresponsiveSince = executor.unresponsiveSince;
		const changes = scheduler.applyPoll(owner, executor, poll);
		if (changes.isRestarted) {
			state.ackSent = 0;
		}

		if (
			changes.isFirst ||
			changes.isRestarted ||
			wasUnresponsiveSince !== undefined
		) {
			logger.info('executor responded', {
				executor: executor.id,
				isRestarted: changes.isRestarted,
				address: executor.listed.address,
				startedAtEpochMs,
				clockMs,
				fencingToken,
				isFenced: executor.isFenced,
				strayLeasesMs: getStrayLeasesMs(),
				running: running.length,
				ends: ends.length,
				silentMs:
					wasUnresponsiveSince === undefined
						? undefined
						: Math.round(now() - wasUnresponsiveSince),
			});
		}

		for (const {taskId, run} of changes.orphanedRuns) {
			runInBackground(
				async () => stopOrphanedRun(taskId, run),
				deps.reportFailure,
			);
		}

		deps.onPoll(changes);
	};

	const stopOrphanedRun = async (taskId: string, run: number) => {
		const command = {taskId, run, fencingToken: getFencingToken()};
		const answer = await executors.stop(
			getTarget(),
			command,
			periods.commandTimeoutMs,
		);
		logger.info('orphaned run stopped', {
			task: taskId,
			run,
			executor: executor.id,
			outcome: answer.kind,
		});
		reconnectAfter(answer);
	};

	const handleNoAnswer = async (
		answer: PollAnswer & {kind: 'no-answer' | 'other-life'},
	) => {
		if (executor.unresponsiveSince === undefined) {
			logger.warn('executor not responding', {
				executor: executor.id,
				address: executor.listed.address,
				runs: executor.runs.size,
				reason: answer.kind === 'no-answer' ? answer.reason : answer.kind,
				status: answer.kind === 'no-answer' ? answer.status : undefined,
			});
		}

		scheduler.markUnresponsive(owner, executor.id, now());
		deps.onChange();
		await delay(state.retryMs);
		state.retryMs = Math.min(2 * state.retryMs, periods.pollRetryMaxMs);
	};

	/** Until the isolated run has outlived its probation, if there is one. */
	const getPollWaitMs = (): number => {
		const probationMs = scheduler.getRemainingProbationMs(executor);
		return probationMs === undefined
			? periods.pollWaitMs
			: Math.min(
					periods.pollWaitMs,
					Math.max(periods.minPollWaitMs, Math.ceil(probationMs)),
				);
	};

	/**
	 * Returns up to which end to acknowledge, or 0. That is sent once only, as the
	 * next incarnation would discard ends that nobody has seen. It might also carry
	 * out a start that is under way and discard its end, so that an acknowledgement
	 * waits for the answers to starts.
	 */
	const takeAcknowledgement = (): number => {
		const {acknowledgedUpto, isFenced, runs} = executor;
		if (!isFenced || acknowledgedUpto <= state.ackSent) {
			state.ackWaitsSince = undefined;
			return 0;
		}

		state.ackWaitsSince ??= now();
		const isStarting = [...runs.values()].some((run) => run.state === 'asked');
		if (isStarting && now() - state.ackWaitsSince < periods.ackDelayMs) {
			return 0;
		}

		state.ackWaitsSince = undefined;
		return acknowledgedUpto;
	};

	const pollOnce = async () => {
		const isResponsive =
			executor.isAdopted && executor.unresponsiveSince === undefined;
		const acknowledgedUpto = isResponsive ? takeAcknowledgement() : 0;
		const isBusy = executor.runs.size > 0 || executor.orphanedRunCount > 0;
		// A lease that rests on an old reading is short, and renewed at once.
		const mayWait =
			isResponsive &&
			!state.isPollRequested &&
			isBusy &&
			getReadingLeftMs() > 0;
		const waitMs = mayWait ? getPollWaitMs() : 0;
		state.isPollRequested = false;
		const mayGrant =
			scheduler.mayGrantLease(executor) && deps.isOwnershipConfirmed();
		const leaseEndMs =
			executor.runs.size > 0 && mayGrant
				? scheduler.grantLease(executor, owner.cfg.taskLeaseMs, now())
				: undefined;
		const sentAt = now();
		const fencingToken = getFencingToken();
		const answer = await executors.poll(
			getTarget(),
			{fencingToken, acknowledgedUpto, leaseEndMs, waitMs},
			waitMs + periods.pollTimeoutMs,
		);
		if (state.isClosed) {
			return;
		}

		await match(answer)
			.with({kind: 'seen'}, async (seen) => {
				state.ackSent = Math.max(state.ackSent, acknowledgedUpto);
				applyAnswer(seen, {sentAt, fencingToken});
				const answeredAt = now();
				await pauseForAck();
				await pauseForStarts();
				await pauseForGap(answeredAt);
			})
			.with({kind: 'fenced'}, async () => {
				if (fencingToken < getFencingToken()) {
					return;
				}

				// Its leases can't be renewed, as those of one that does not answer.
				scheduler.markUnresponsive(owner, executor.id, now());
				deps.onFenced();
				deps.onChange();
				await pollGap.wait(periods.fencedRetryMs);
			})
			.with({kind: 'other-life'}, async (other) => {
				reconnectAfter(other);
				await handleNoAnswer(other);
			})
			.with({kind: 'no-answer'}, handleNoAnswer)
			.exhaustive();
	};

	const run = async () => {
		while (!state.isClosed) {
			await (needsPoll() ? pollOnce() : idlePause.wait(getReadingLeftMs()));
		}
	};

	const pollNow = () => {
		state.isPollRequested = true;
		idlePause.end();
		ackPause.end();
		pollGap.end();
	};

	const applyEffect = (effect: scheduler.AnswerEffect) => {
		match(effect)
			.with('none', () => undefined)
			.with('fenced', () => {
				deps.onFenced();
			})
			.with('look-again', pollNow)
			.exhaustive();
		idlePause.end();
		deps.onChange();
	};

	const sendStart = async (command: scheduler.Command & {kind: 'start'}) => {
		const {run: started, leaseEndMs} = command;
		const {task, number} = started;
		const readingAgeMs = scheduler.getClockReadingAge(
			executor,
			started.askedAt,
		);
		const startedAtEpochMs = executor.incarnation?.startedAtEpochMs;
		const answer = await executors.start(
			getTarget(),
			{
				taskId: task.id,
				run: number,
				payload: task.step.occurrence.job.accepted.spec.payload,
				leaseEndMs,
				fencingToken: getFencingToken(),
				checkpoint: task.checkpoint,
				ticket: command.ticket,
			},
			periods.commandTimeoutMs,
		);
		logger.info('task start', {
			task: task.id,
			run: number,
			executor: executor.id,
			outcome: answer.kind,
			reason: answer.kind === 'refused' ? answer.reason : undefined,
			leaseEndMs,
			leaseLeftMs: getLeaseLeft(answer, leaseEndMs),
			startedAtEpochMs,
			readingAgeMs: readingAgeMs && Math.round(readingAgeMs),
			failures: task.failures,
			crashes: task.crashes.length,
			isIsolated: started.isIsolated,
			tookMs: Math.round(now() - started.askedAt),
		});
		deps.onStartAnswer(started, answer);
		if (state.isClosed) {
			return;
		}

		reconnectAfter(answer);
		applyEffect(scheduler.applyStartAnswer(owner, started, answer, now()));
	};

	const sendStop = async (command: scheduler.Command & {kind: 'stop'}) => {
		const {run: stopped, reason} = command;
		const {task, number} = stopped;
		const answer = await executors.stop(
			getTarget(),
			{taskId: task.id, run: number, fencingToken: getFencingToken()},
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
		reconnectAfter(answer);
		applyEffect(scheduler.applyStopAnswer(owner, stopped, answer, now()));
	};

	const sendThrottle = async ({
		run: throttled,
		percent,
		tailShare,
	}: scheduler.ThrottleCommand) => {
		const {task, number} = throttled;
		const before = throttled.speedLimitPercent;
		throttled.speedLimitPercent = percent;
		const answer = await executors.throttle(
			getTarget(),
			{
				taskId: task.id,
				run: number,
				fencingToken: getFencingToken(),
				percent,
			},
			periods.commandTimeoutMs,
		);
		logger.info('task throttled', {
			task: task.id,
			run: number,
			executor: executor.id,
			percent,
			before,
			tailShare: Math.round(100 * tailShare) / 100,
			outcome: answer.kind,
		});
		if (answer.kind !== 'done') {
			throttled.speedLimitPercent =
				answer.kind === 'no-answer' ? 'unknown' : before;
		}
	};

	runInBackground(run, deps.reportFailure);
	return {
		pollNow,
		notifyAckable() {
			idlePause.end();
			ackPause.end();
		},
		close() {
			state.isClosed = true;
			idlePause.end();
			ackPause.end();
			pollGap.end();
			executors.closeConnections(target);
		},
		send(command) {
			runInBackground(
				async () =>
					command.kind === 'start' ? sendStart(command) : sendStop(command),
				deps.reportFailure,
			);
			// An idle link polls again, to learn of the run's end.
			idlePause.end();
		},
		sendThrottle(command) {
			runInBackground(async () => sendThrottle(command), deps.reportFailure);
		},
	};
};

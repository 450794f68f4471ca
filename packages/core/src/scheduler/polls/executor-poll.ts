/** Applies the runs and run ends that an executor lists when it is polled. */
import {match} from 'ts-pattern';
import {countFailure} from '../state/attempts.js';
import {clearSuspicion, noteVacancy} from '../state/suspected-executors.js';
import {
	addRun,
	describeIncarnation,
	removeRun,
	getReadiness,
	getRunKey,
	recordClockReading,
	type Executor,
} from '../state/executor.js';
import {
	recordDoneRuns,
	recordProgresses,
} from '../executor-speed/record-speeds.js';
import {mayHaveStarted} from '../state/due-occurrences.js';
import {isRestart} from '../state/incarnation.js';
import {completeIfDone, endJob, type EndedJob} from '../state/job-ends.js';
import {getMaxLeaseDurationMs} from '../state/leases.js';
import {fenceIncarnation} from '../state/restart-fence.js';
import {markTaskDirty} from '../state/split-progress.js';
import type {Owner} from '../state/owner-state.js';
import {recordRunTime, type MeasuredRun} from '../run-times/samples.js';
import {
	addOccurrencesUpTo,
	createDetachedTask,
	createRun,
	confirmRun,
	listCoscheduledTasks,
	markDone,
	parseTaskId,
	applyCheckpoint,
	type Job,
	type Run,
	type Task,
} from '../state/task.js';
import {settleInheritedStarts} from '../state/unanswered-starts.js';
import {recordListing} from '../state/unread-ends.js';
import {forgetLoss} from './crash-attribution.js';
import {clearIfProbationIsOver, noteRunOfSuspect} from './crash-suspects.js';
import {resetIncarnation} from './executor-restart.js';
import {listRunsLostByRestart, listVanishedRuns} from './missing-runs.js';
import {settleAnswered, type SettledLoss} from './possible-losses.js';
import {
	maxEndsPerPoll,
	type ExecutorPoll,
	type ListedEnd,
	type ListedRun,
	type PollChanges,
} from './poll-answer.js';

/**
 * A poll, and whether the executor had answered the one before. Otherwise it is
 * not known when the listed runs ended.
 */
type TimedPoll = ExecutorPoll & {readonly isTimely: boolean};

type Changes = {
	ends: Array<ListedEnd & {failures: number}>;
	adopted: string[];
	vanished: string[];
	orphanedRuns: ListedRun[];
	settledLosses: SettledLoss[];
	jobEnds: EndedJob[];
	measuredRuns: MeasuredRun[];
};

const findJob = (owner: Owner, taskId: string): Job | undefined => {
	const parts = parseTaskId(taskId);
	return parts && owner.jobs.get(parts.jobId);
};

/** Returns the task with that id if its job and occurrence are loaded. */
export const findTask = (owner: Owner, taskId: string): Task | undefined => {
	const parts = parseTaskId(taskId);
	const job = parts && owner.jobs.get(parts.jobId);
	if (!parts || !job) {
		return undefined;
	}

	if (mayHaveStarted(job, parts.occurrence)) {
		addOccurrencesUpTo(job, parts.occurrence);
	}

	return job.occurrences.get(parts.occurrence)?.steps[parts.step]?.tasks[
		parts.index
	];
};

/** Returns the task of a listed run, also if its occurrence is not loaded. */
const findRunTask = (owner: Owner, taskId: string): Task | undefined => {
	const task = findTask(owner, taskId);
	if (task) {
		return task;
	}

	const parts = parseTaskId(taskId);
	const job = parts && owner.jobs.get(parts.jobId);
	return parts && job
		? createDetachedTask(job, parts.occurrence, parts.step, parts.index)
		: undefined;
};

const recordDone = (owner: Owner, task: Task, now: number): void => {
	const {job} = task.step.occurrence;
	// A gang is done as a whole when one member is.
	for (const each of listCoscheduledTasks(task)) {
		markDone(each);
	}

	markTaskDirty(owner, task);
	completeIfDone(owner, job, now);
};

const quarantineIfFailing = (
	owner: Owner,
	executor: Executor,
	now: number,
): void => {
	const {failuresUntilQuarantine, quarantineMs, maxQuarantinedShare} =
		owner.cfg;
	// Others take no work anyway, so they leave all of it to those that do.
	const readiness = [...owner.executors.values()]
		.filter((each) => each !== executor)
		.map((each) => getReadiness(each, now));
	const usable = readiness.filter((each) => each === 'usable').length;
	const quarantined = readiness.filter((each) => each === 'resting').length;
	const isWithinShare =
		(quarantined + 1) / (usable + quarantined + 1) <= maxQuarantinedShare;
	if (
		executor.consecutiveFailures >= failuresUntilQuarantine &&
		isWithinShare
	) {
		executor.quarantinedUntil = now + quarantineMs;
		executor.consecutiveFailures = 0;
	}
};

const recordFailure = (
	owner: Owner,
	task: Task,
	{executor, run}: {readonly executor: Executor; readonly run: number},
	now: number,
): EndedJob | undefined => {
	if (!countFailure(task, run)) {
		return undefined;
	}

	const {step} = task;
	const {job} = step.occurrence;
	task.failedOn = executor.id;
	executor.consecutiveFailures += 1;
	quarantineIfFailing(owner, executor, now);
	markTaskDirty(owner, task);
	const {maxAttempts} = job.accepted.policy;
	if (step.spec.isLongRunning || task.failures < maxAttempts || job.end) {
		return undefined;
	}

	endJob(owner, job, 'failed', now);
	const reason = `task ${task.id} failed ${task.failures} times`;
	return {job: job.accepted.id, end: 'failed', reason};
};

const applyEnd = (
	owner: Owner,
	executor: Executor,
	end: ListedEnd,
	now: number,
): EndedJob | undefined => {
	const task = findTask(owner, end.taskId);
	const run = executor.runs.get(getRunKey(end.taskId, end.run));
	if (run) {
		removeRun(executor, run);
	}

	if (!task || task.isDone) {
		return undefined;
	}

	task.step.occurrence.job.hasStarted = true;
	noteRunOfSuspect(owner, task);
	if (applyCheckpoint(task, end.run, end.checkpoint)) {
		// Checkpoints of running tasks are not stored, so this one may not be.
		markTaskDirty(owner, task);
	}

	return match(end.how)
		.returnType<EndedJob | undefined>()
		.with('done', () => {
			executor.consecutiveFailures = 0;
			recordDone(owner, task, now);
			return undefined;
		})
		.with('failed', () =>
			recordFailure(owner, task, {executor, run: end.run}, now),
		)
		.with('stopped', 'lapsed', 'broken', 'alone', () => undefined)
		.exhaustive();
};

/** Measures a run that ended before its end is applied. */
const measureEnd = (
	owner: Owner,
	executor: Executor,
	end: ListedEnd,
	{receivedAt, isTimely}: TimedPoll,
): MeasuredRun | undefined => {
	const run = executor.runs.get(getRunKey(end.taskId, end.run));
	const {learnsRunTimes} = owner.cfg;
	const isMeasured = learnsRunTimes && isTimely && end.how === 'done';
	return run && !run.task.isDone && isMeasured
		? recordRunTime(owner, {run, executor, endedAt: receivedAt})
		: undefined;
};

const applyEnds = (
	owner: Owner,
	executor: Executor,
	poll: TimedPoll,
	changes: Changes,
): void => {
	const fresh = poll.ends
		.filter(({number}) => number > executor.lastEndNumber)
		.toSorted((one, two) => one.number - two.number);
	for (const end of fresh) {
		executor.lastEndNumber = end.number;
		const measured = measureEnd(owner, executor, end, poll);
		const endedJob = applyEnd(owner, executor, end, poll.receivedAt);
		const failures = findTask(owner, end.taskId)?.failures ?? 0;
		changes.ends.push({...end, failures});
		if (measured) {
			changes.measuredRuns.push(measured);
		}

		if (endedJob) {
			changes.jobEnds.push(endedJob);
		}

		executor.unackedEnds.push({
			number: end.number,
			flushNumber: owner.flushNumber,
			job: findJob(owner, end.taskId),
			seenAt: poll.receivedAt,
		});
	}
};

const recordProgress = (
	run: Run,
	listed: ListedRun,
	{clockMs, sentAt, receivedAt: now}: ExecutorPoll,
): void => {
	if (listed.percent > run.percent || run.confirmedAt === undefined) {
		run.progressedAt = now;
	}

	run.percent = listed.percent;
	run.observedFrom ??= {at: now, percent: listed.percent, isStart: false};
	run.load = listed.load;
	if (run.mayStopUntil !== undefined && sentAt >= run.mayStopUntil) {
		run.mayStopUntil = undefined;
	}

	confirmRun(run, clockMs, now);
	if (run.state === 'asked' || run.state === 'unsettled') {
		run.state = 'running';
	}
};

const adoptRun = (
	owner: Owner,
	executor: Executor,
	listed: ListedRun,
	{clockMs, receivedAt: now}: ExecutorPoll,
): Run | undefined => {
	const task = findRunTask(owner, listed.taskId);
	if (!task) {
		return undefined;
	}

	const run = createRun(task, listed.run, executor.id, now);
	run.state = 'running';
	run.isAdopted = true;
	run.incarnation = describeIncarnation(executor);
	confirmRun(run, clockMs, now);
	run.percent = listed.percent;
	run.load = listed.load;
	// This poll barred the stops of earlier owners, but not those accepted before.
	run.mayStopUntil = now + owner.cfg.maxStopMs;
	task.lastRun = Math.max(task.lastRun, listed.run);
	task.step.occurrence.job.hasStarted = true;
	addRun(executor, run);
	noteRunOfSuspect(owner, task);
	owner.isRosterDirty ||= !executor.isRostered;
	return run;
};

const applyRunning = (
	owner: Owner,
	executor: Executor,
	poll: ExecutorPoll,
	changes: Changes,
): void => {
	for (const listed of poll.running) {
		const key = getRunKey(listed.taskId, listed.run);
		const known = executor.runs.get(key);
		const run = known ?? adoptRun(owner, executor, listed, poll);
		if (!run) {
			changes.orphanedRuns.push(listed);
			continue;
		}

		if (!known) {
			changes.adopted.push(key);
		}

		recordProgress(run, listed, poll);
		clearIfProbationIsOver(owner, run);
		// Not stored while the task runs: losing it only repeats work.
		applyCheckpoint(run.task, run.number, listed.checkpoint);
	}
};

const removeVanished = (
	owner: Owner,
	executor: Executor,
	poll: ExecutorPoll,
	changes: Changes,
): void => {
	for (const run of listVanishedRuns(executor, poll)) {
		removeRun(executor, run);
		noteRunOfSuspect(owner, run.task);
		changes.vanished.push(getRunKey(run.task.id, run.number));
	}
};

/**
 * Applies the answer to a poll. An executor has one poll in flight at a time,
 * so answers arrive in order.
 */
export const applyPoll = (
	owner: Owner,
	executor: Executor,
	poll: ExecutorPoll,
): PollChanges => {
	const isFirst = !executor.isAdopted;
	const changes: Changes = {
		ends: [],
		adopted: [],
		vanished: [],
		orphanedRuns: [],
		settledLosses: [],
		jobEnds: [],
		measuredRuns: [],
	};
	const isRestarted = isRestart(executor.incarnation, poll);
	if (isRestarted) {
		const lostRuns = listRunsLostByRestart(executor, poll);
		changes.jobEnds.push(
			...resetIncarnation(owner, executor, {...poll, lostRuns}),
		);
	} else if (isFirst || executor.unresponsiveSince !== undefined) {
		forgetLoss(owner, executor.id, poll.startedAtEpochMs);
	}

	fenceIncarnation(owner, executor, {
		...poll,
		// An executor may have left the roster of an earlier owner and come back.
		hasUnknownOrigin:
			isFirst &&
			!owner.unresolvedExecutors.has(executor.id) &&
			poll.running.length > 0,
	});
	const settled = settleAnswered(owner, executor.id, poll, poll.receivedAt);
	changes.settledLosses.push(...settled.losses);
	changes.jobEnds.push(...settled.jobEnds);

	const {clockMs} = poll;
	const knownStart = isRestarted
		? undefined
		: executor.incarnation?.startedAtEpochMs;
	executor.incarnation = {
		startedAtEpochMs: poll.startedAtEpochMs ?? knownStart,
		clockMs,
	};
	recordClockReading(executor, clockMs, poll.receivedAt);
	const isWhole = poll.ends.length < maxEndsPerPoll;
	if (isFirst && (poll.running.length > 0 || !isWhole)) {
		// Granted by the previous owner, before this poll barred it.
		executor.grantedUntil = Math.max(
			executor.grantedUntil,
			clockMs + getMaxLeaseDurationMs(owner.cfg),
		);
	}

	executor.polledAt = poll.sentAt;
	const isTimely = executor.unresponsiveSince === undefined;
	executor.unresponsiveSince = undefined;
	clearSuspicion(owner, executor);
	executor.hasListedEnds = poll.ends.length > 0;
	executor.isKnownVacant &&=
		!executor.hasListedEnds && poll.running.length === 0;
	recordDoneRuns(owner, executor, poll);
	applyEnds(owner, executor, {...poll, isTimely}, changes);
	applyRunning(owner, executor, poll, changes);
	recordProgresses(executor, poll);
	executor.orphanedRunCount = changes.orphanedRuns.length;
	executor.isAdopted = true;
	recordListing(owner, executor, isWhole);
	owner.unresolvedExecutors.delete(executor.id);
	settleInheritedStarts(owner, executor.id);
	// With a full page of ends, the end of an unlisted run may be on the next.
	if (isWhole) {
		removeVanished(owner, executor, poll, changes);
	}

	noteVacancy(owner, executor);
	return {isFirst, isRestarted, ...changes};
};

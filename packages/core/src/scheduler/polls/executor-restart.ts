/** Forgets what an owner knows of the previous incarnation of an executor. */
import {restartPhases, type Executor} from '../state/executor.js';
import type {EndedJob} from '../state/job-ends.js';
import type {Owner} from '../state/owner-state.js';
import {noteRestart} from '../state/restart-fence.js';
import {forgetTickets} from '../placement/placement-advice.js';
import type {Run} from '../state/task.js';
import {attributeLoss} from './crash-attribution.js';

/** The poll that another incarnation answered first. */
export type FirstPoll = {
	/** Absent if the platform does not report it. */
	readonly startedAtEpochMs?: number | undefined;
	readonly receivedAt: number;
	/** Runs of the previous incarnation, which are lost with it. */
	readonly lostRuns: readonly Run[];
};

/**
 * Prepares an executor for the first poll of another incarnation. Returns the
 * jobs that fail, since their tasks crash their executors.
 */
export const resetIncarnation = (
	owner: Owner,
	executor: Executor,
	{startedAtEpochMs, receivedAt, lostRuns}: FirstPoll,
): readonly EndedJob[] => {
	// Before the clock is reset, by which the lives of the runs are measured.
	const jobEnds = attributeLoss(owner, executor, lostRuns, receivedAt);
	for (const run of executor.runs.values()) {
		run.confirmedClockMs = undefined;
	}

	executor.clock = undefined;
	executor.grantedUntil = 0;
	executor.lastEndNumber = 0;
	executor.unackedEnds = [];
	executor.acknowledgedUpto = 0;
	executor.consecutiveFailures = 0;
	executor.quarantinedUntil = 0;
	const isRaised =
		executor.restart === restartPhases.shown &&
		startedAtEpochMs !== undefined &&
		executor.restartedAtEpochMs === startedAtEpochMs;
	if (isRaised) {
		executor.restart = restartPhases.answered;
	} else {
		const phase = restartPhases.answered;
		noteRestart(owner, executor, {startedAtEpochMs, phase}, receivedAt);
	}

	forgetTickets(owner, executor.id);
	return jobEnds;
};

/** Forgets what an owner knows of the previous incarnation of an executor. */
import type {Executor} from '../state/executor.js';
import type {EndedJob} from '../state/job-ends.js';
import type {Owner} from '../state/owner-state.js';
import {forgetTickets} from '../placement/placement-advice.js';
import type {Run} from '../state/task.js';
import {attributeLoss} from './crash-attribution.js';

/** The poll that another incarnation answered first. */
export type FirstPoll = {
	/** Its clock in the answer. */
	readonly clockMs: number;
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
	{clockMs, receivedAt, lostRuns}: FirstPoll,
): readonly EndedJob[] => {
	// Before the clock is reset, by which the lives of the runs are measured.
	const jobEnds = attributeLoss(owner, executor, lostRuns, receivedAt);
	for (const run of executor.runs.values()) {
		run.confirmedClockMs = undefined;
	}

	executor.clock = undefined;
	// A lease by the previous clock may have been granted to this incarnation.
	executor.grantedUntil = clockMs + owner.cfg.maxLeaseMs;
	executor.lastEndNumber = 0;
	executor.unackedEnds = [];
	executor.acknowledgedUpto = 0;
	executor.consecutiveFailures = 0;
	executor.quarantinedUntil = 0;
	// A former owner may start tasks here, since no fencing token is known: a
	// stored roster shows that this owner still holds the service.
	executor.isRostered = false;
	owner.isRosterDirty = true;
	forgetTickets(owner, executor.id);
	return jobEnds;
};

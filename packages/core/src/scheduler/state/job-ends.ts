/** Ends of jobs, and the job states that callers see. */
import type {Owner} from './owner-state.js';
import {isJobComplete, type Job, type JobEnd} from './task.js';
import type {JobState} from './types.js';

/** A job that ended and the reason, for the log. */
export type EndedJob = {
	readonly job: string;
	readonly end: JobEnd;
	readonly reason: string;
};

/** Ends a job. The next plan stops its remaining runs. */
export const endJob = (
	owner: Owner,
	job: Job,
	end: JobEnd,
	now: number,
): void => {
	if (job.end) {
		return;
	}

	job.end = end;
	job.endedAt = now;
	// The row of an ended job is small.
	job.hold = undefined;
	for (const stepId of owner.advice.keys()) {
		if (stepId.startsWith(`${job.accepted.id}.`)) {
			owner.advice.delete(stepId);
		}
	}

	owner.openJobs.delete(job);
	owner.dirtyJobs.add(job);
};

/**
 * Cancels a job. The cancellation is already stored in a row of its own, so
 * callers may see it at once.
 */
export const cancelJob = (owner: Owner, job: Job, now: number): void => {
	if (job.end) {
		return;
	}

	endJob(owner, job, 'cancelled', now);
	job.storedEnd = 'cancelled';
};

/** Returns the job state that callers see; an end only once it is stored. */
export const getJobState = (job: Job): JobState => {
	if (job.storedEnd) {
		return job.storedEnd;
	}

	return job.hasStarted ? 'running' : 'queued';
};

/** Completes a job if all of its tasks are done. */
export const completeIfDone = (owner: Owner, job: Job, now: number): void => {
	owner.dirtyJobs.add(job);
	if (!job.end && isJobComplete(job)) {
		endJob(owner, job, 'completed', now);
	}
};

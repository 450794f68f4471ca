/** Whether it is known where a task runs. */
import type {Owner} from './owner-state.js';
import type {Task} from './task.js';
import {isInheritanceKnown} from './unread-ends.js';

const mayHaveTwoRuns = ({cfg}: Owner, {step}: Task): boolean =>
	cfg.avoidsSlowExecutors && step.spec.allowsCopies;

/**
 * Whether it is known where a task runs, if at all. A task of an inherited job
 * may run on an executor that has not answered yet, unless this owner has
 * already seen a run of it. There may be two runs where copies are started. It
 * may also have ended on one that has not listed all of its ends, or begin on one
 * that has not answered its start.
 */
export const isLocationKnown = (owner: Owner, task: Task): boolean =>
	!task.step.occurrence.job.isInherited ||
	(!owner.possiblyStarted.has(task.id) &&
		(isInheritanceKnown(owner) ||
			(owner.unreadExecutors.size === 0 &&
				task.lastRun > 0 &&
				!mayHaveTwoRuns(owner, task))));

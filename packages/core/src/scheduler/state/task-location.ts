/** Whether it is known where a task runs. */
import type {Owner} from './owner-state.js';
import type {Task} from './task.js';

/**
 * Whether it is known where a task runs, if at all. A task of an inherited job
 * may run on an executor that has not answered yet, unless this owner has
 * already seen a run of it. Of a step that allows copies there may be two runs.
 */
export const isLocationKnown = (owner: Owner, task: Task): boolean =>
	!task.step.occurrence.job.isInherited ||
	owner.unresolvedExecutors.size === 0 ||
	(task.lastRun > 0 && !task.step.spec.allowsCopies);

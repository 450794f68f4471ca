/** The run time that is expected of a task on a sound executor. */
import type {Step} from '../state/task.js';

/** Expected run time of a task of a step in milliseconds, at least 1. */
export const getExpectedRunMs = ({spec}: Pick<Step, 'spec'>): number =>
	Math.max(1, spec.estimateMs);

/** Samples for tests of run-time estimates. */
import * as scheduler from '../index.js';
import {createAccepted, createTestOwner} from '../owner.test.fixture.js';

/**
 * Adds samples of the steps that `createAccepted` makes, whose runs take the
 * declared time multiplied by one of the factors in turn.
 */
export const addSamples = (
	owner: scheduler.Owner,
	factors: readonly number[],
	count = 60,
): void => {
	const other = createTestOwner([]);
	const job = scheduler.addJob(other, createAccepted('sampled'), false);
	const step = scheduler.addOccurrence(job).steps[0]!;
	for (let index = 0; index < count; index += 1) {
		const declaredMs = 100 + 50 * (index % 20);
		const trueMs = declaredMs * factors[index % factors.length]!;
		const sample = {declaredMs, trueMs, driftWeight: 1};
		scheduler.recordSample(owner.runTimes, step, 'run', sample);
		scheduler.recordSample(owner.runTimes, step, 'step', sample);
	}
};

/** Returns the number of the latest run of a task. */
export const getLastRun = (owner: scheduler.Owner, taskId: string): number =>
	scheduler.findTask(owner, taskId)?.lastRun ?? 0;

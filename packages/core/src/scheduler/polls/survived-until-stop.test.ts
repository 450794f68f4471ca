/**
 * Guards against the loss of an executor counting against a suspect that it had
 * outlived, as the answer to a stop showed.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	planAndStart,
	submit,
	loseExecutor,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

for (const {stoppedAfterMs, isSuspect} of [
	{stoppedAfterMs: 250, isSuspect: true},
	{stoppedAfterMs: 576, isSuspect: false},
]) {
	tap.t.test(
		`an executor that answers a stop after ${stoppedAfterMs} ms and is lost: its task is ${isSuspect ? 'a' : 'no'} suspect`,
		async (t) => {
			const ids = ['x0', 'x1', 'x2', 'x3'];
			const owner = createTestOwner(ids.map((id) => createListed(id)));
			const job = submit(owner, createAccepted('a', [{estimateMs: 60_000}]));
			const [task] = scheduler.listTasks(job);
			planAndStart(owner, 0);
			loseExecutor(owner, task!.runs[0]!.executorId, 10);
			planAndStart(owner, 1000);
			const [run] = task!.runs;
			t.equal(run!.isIsolated, true);
			const now = 1000 + stoppedAfterMs;
			const answer = {kind: 'done', clockMs: now} as const;
			scheduler.applyStopAnswer(owner, run!, answer, now);
			loseExecutor(owner, run!.executorId, now + 1000);
			t.equal(scheduler.isCrashSuspect(task!), isSuspect);
		},
	);
}

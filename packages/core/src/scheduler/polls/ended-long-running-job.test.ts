import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	getCommandRun,
	listRuns,
	planAndStart,
	pollExecutor,
	submit,
	loseExecutor,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const survivals = [0, 250, 1000, 4500];

// A long-running job that is given up ends all of its tasks at once.
for (const survivedMs of survivals) {
	tap.t.test(
		`executors that are lost ${survivedMs} ms after its starts do not end a long-running job`,
		async (t) => {
			const ids = Array.from({length: 12}, (_, index) => `x${index}`);
			const owner = createTestOwner(ids.map((id) => createListed(id)));
			const spec = {isLongRunning: true, estimateMs: 60_000};
			const job = submit(owner, createAccepted('a', [spec]));
			let run: scheduler.Run | undefined;
			for (let count = 0; count < ids.length - 1; count++) {
				const now = count * 20_000;
				for (const id of owner.executors.keys()) {
					pollExecutor(owner, id, {at: now});
				}

				run = getCommandRun(planAndStart(owner, now)[0]);
				t.equal(run?.isIsolated, count >= (survivedMs < 300 ? 1 : 2));
				const id = run!.executorId;
				const at = now + survivedMs;
				pollExecutor(owner, id, {at, running: listRuns(owner, id)});
				t.same(loseExecutor(owner, id, at).jobEnds, []);
			}

			t.equal(job.end, undefined);
			const {crashes} = [...scheduler.listTasks(job)][0]!;
			t.ok(crashes.length <= 5, 'the stored row does not grow');
		},
	);
}

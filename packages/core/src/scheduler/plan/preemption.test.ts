/**
 * Guards against a long-running task that waits without end while room is made
 * for it piece by piece and smaller tasks take each piece.
 */
import * as tap from 'tap';
import {
	createAccepted,
	createListed,
	createTestOwner,
	listRuns,
	planAndStart,
	pollExecutor,
	submit,
} from '../owner.test.fixture.js';
import * as scheduler from '../index.js';

const stepMs = 10;

/** How long executors take to stop a run, by the order of the stops. */
const stopMs = (index: number): number => 100 + 250 * (index % 3);

const workMs = 2000;

/**
 * Runs a pool whose queue of small tasks never ends, and submits a long-running
 * task that needs most of an executor after a second. Returns when it starts.
 */
const simulate = (executors: number, cancelEveryMs: number): number => {
	const owner = createTestOwner(
		Array.from({length: executors}, (_, index) => createListed(`x${index}`)),
	);
	const endsAt = new Map<string, number>();
	const ends = new Map<string, scheduler.ListedEnd[]>();
	let stops = 0;
	let jobs = 0;
	for (let now = 0; now < 30_000; now += stepMs) {
		if (now === 1000) {
			submit(
				owner,
				createAccepted('long', [
					{
						isLongRunning: true,
						estimateMs: 60_000,
						resources: {cpuMillis: 3000, memoryMb: 1, accelerators: 0},
					},
				]),
			);
		}

		while (owner.openJobs.size < 20) {
			jobs += 1;
			submit(
				owner,
				createAccepted(`j${jobs}`, [
					{
						count: 4,
						estimateMs: workMs,
						resources: {cpuMillis: 1000, memoryMb: 1, accelerators: 0},
					},
				]),
			);
		}

		if (now % cancelEveryMs === 0) {
			const running = [...owner.openJobs].find(
				({hasStarted, accepted}) => hasStarted && accepted.id !== 'long',
			);
			if (running) {
				scheduler.cancelJob(owner, running, now);
			}
		}

		for (const {id} of owner.executors.values()) {
			const listed = ends.get(id) ?? [];
			const runs = listRuns(owner, id);
			for (const {taskId, run} of runs) {
				if ((endsAt.get(`${taskId}/${run}`) ?? Infinity) <= now) {
					const number = listed.length + 1;
					listed.push({number, taskId, run, how: 'done', checkpoint: ''});
				}
			}

			ends.set(id, listed);
			const ended = new Set(listed.map(({taskId, run}) => `${taskId}/${run}`));
			pollExecutor(owner, id, {
				at: now,
				ends: listed,
				running: runs.filter(({taskId, run}) => !ended.has(`${taskId}/${run}`)),
			});
		}

		for (const command of planAndStart(owner, now)) {
			if (command.kind === 'advise') {
				continue;
			}

			const key = `${command.run.task.id}/${command.run.number}`;
			if (command.kind === 'stop') {
				stops += 1;
				endsAt.set(key, now + stopMs(stops));
			} else if (command.run.task.id === 'long.0.0.0') {
				return now - 1000;
			} else {
				endsAt.set(key, now + workMs);
			}
		}
	}

	return Infinity;
};

for (const {executors, cancelEveryMs} of [
	{executors: 1, cancelEveryMs: 100_000},
	{executors: 3, cancelEveryMs: 100_000},
	{executors: 3, cancelEveryMs: 400},
	{executors: 10, cancelEveryMs: 100},
]) {
	tap.t.test(
		`a long-running task gets room on ${executors} executors, with a cancellation each ${cancelEveryMs} ms`,
		async (t) => {
			const waitedMs = simulate(executors, cancelEveryMs);
			t.ok(waitedMs <= 3000, `${waitedMs} ms`);
		},
	);
}

/** A service whose executors end each run after a given time, for load replays. */
import * as scheduler from '../index.js';
import {
	createListed,
	createTestOwner,
	flushAll,
	planAndStart,
	pollExecutor,
} from '../owner.test.fixture.js';

/** Time between two plans, in milliseconds. */
export const stepMs = 50;

/** After the grace period of a takeover. */
export const startAt = 3000;

/** A service with executors of four cores; each task takes `runMs`. */
export const simulateService = (executors: number, runMs: number) => {
	const ids = Array.from({length: executors}, (_, index) => `x${index}`);
	const owner = createTestOwner(ids.map((id) => createListed(id)));
	const ends = new Map(ids.map((id) => [id, 0]));

	const poll = (id: string, now: number) => {
		const runs = [...(owner.executors.get(id)?.runs.values() ?? [])];
		const toListed = ({task, number: run}: scheduler.Run) => ({
			taskId: task.id,
			run,
		});
		const isOver = ({askedAt}: scheduler.Run) => now - askedAt >= runMs;
		const over = runs.filter((run) => isOver(run));
		const first = ends.get(id) ?? 0;
		ends.set(id, first + over.length);
		pollExecutor(owner, id, {
			at: now,
			running: runs.filter((run) => !isOver(run)).map((run) => toListed(run)),
			ends: over.map((run, index) => ({
				...toListed(run),
				number: first + index + 1,
			})),
		});
	};

	return {
		owner,
		/** Ends the runs that are over and starts others. */
		advance(now: number) {
			for (const id of ids) {
				poll(id, now);
			}

			flushAll(owner);
			scheduler.advanceSchedules(owner, now);
			planAndStart(owner, now);
		},
		add(job: scheduler.AcceptedJob, now: number) {
			scheduler.addJob(owner, job, false, now);
			scheduler.advanceSchedules(owner, now);
		},
		decide(job: scheduler.AcceptedJob, now: number, fleetCpu = 0) {
			const outlook = {
				...scheduler.makeQueueOutlook(owner, fleetCpu, now, now),
				waiting: scheduler.listWaitingWork(owner, {now, epochNow: now}),
			};
			return scheduler.decideAdmission(outlook, {job, placesDue: 0}, now).kind;
		},
	};
};

/** Holds back jobs of which the store refuses a row, and tries them again. */
import {scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';

export type HeldJobsDeps = {
	readonly owner: scheduler.Owner;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'warn'>;
	readonly shard: string;
	readonly onJobEnd: ((ended: scheduler.EndedJob) => void) | undefined;
	/** Called when jobs may be stored again. */
	readonly onReleased: () => void;
	/** Called if the store has taken nothing since a job was held back. */
	readonly onNoEvidence: () => void;
};

export type HeldJobs = {
	/** Holds back a job, a row of which was refused. */
	readonly hold: (job: scheduler.Job, bytes: number) => void;
	/** Ends a job whose progress cannot be encoded. */
	readonly failUnencodable: (job: scheduler.Job, err: unknown) => void;
	/** Records a flush that the store has taken. */
	readonly recordTaken: (flush: scheduler.Flush) => void;
	readonly stop: () => void;
};

export const createHeldJobs = (deps: HeldJobsDeps): HeldJobs => {
	const {owner, now, logger, shard} = deps;
	const jobs = new Set<scheduler.Job>();
	let taken: scheduler.TakenFlushes = {all: 0, withJobs: 0};
	let timer: NodeJS.Timeout | undefined;

	const end = (ended: scheduler.EndedJob) => {
		logger.warn('job failed: its progress cannot be stored', {shard, ...ended});
		deps.onJobEnd?.(ended);
	};

	/** Returns whether a job is released. */
	const decideAll = (): boolean => {
		let isAnyReleased = false;
		for (const job of jobs) {
			const decision = job.hold
				? scheduler.decideHeldJob(job, job.hold, taken, now())
				: 'retry';
			if (decision !== 'wait') {
				const ended = scheduler.applyHeldDecision(owner, job, decision, now());
				jobs.delete(job);
				isAnyReleased = true;
				if (ended) {
					end(ended);
				}
			}
		}

		return isAnyReleased;
	};

	const isWithoutEvidence = (): boolean =>
		[...jobs].some(
			({hold, end: jobEnd}) =>
				hold &&
				(hold.canShrink || jobEnd !== undefined) &&
				hold.taken.all === taken.all,
		);

	const check = () => {
		timer = undefined;
		if (decideAll()) {
			deps.onReleased();
		} else if (isWithoutEvidence()) {
			deps.onNoEvidence();
		}

		schedule();
	};

	const schedule = () => {
		if (jobs.size > 0) {
			timer ??= setTimeout(check, periods.refusedRetryMs);
		}
	};

	return {
		hold(job, bytes) {
			const hold = scheduler.holdJob(job, bytes, taken, now());
			jobs.add(job);
			logger.warn('job held back: the store refuses a row of it', {
				shard,
				job: job.accepted.id,
				bytes,
				canShrink: hold.canShrink,
				end: job.end,
			});
			decideAll();
			schedule();
		},
		failUnencodable(job, err) {
			logger.warn('progress not encoded', {
				shard,
				job: job.accepted.id,
				error: String(err),
			});
			if (job.end) {
				job.storedEnd ??= job.end;
				job.isUnstorable = true;
				return;
			}

			scheduler.endJob(owner, job, 'failed', now());
			end({
				job: job.accepted.id,
				end: 'failed',
				reason: 'its progress cannot be encoded',
			});
		},
		recordTaken(flush) {
			taken = {
				all: taken.all + 1,
				withJobs: taken.withJobs + (flush.jobs.length > 0 ? 1 : 0),
			};
			decideAll();
		},
		stop() {
			clearTimeout(timer);
		},
	};
};

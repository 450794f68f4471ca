/**
 * Decides for the owner of a service whether a new job is accepted, and makes
 * sure that a rejected job is not stored. Source: docs/design/job-admission.md.
 */
import {scheduler} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {delay, type Clock} from '../clock.js';
import type {JobMetrics} from '../job-metrics.js';
import {periods} from '../periods.js';
import {getKeyAfter, tables} from '../rows/tables.js';

/** A job that is not accepted and not stored. */
export type Rejection = {
	readonly kind: 'rejected';
	readonly reason: scheduler.RejectionReason;
	/** Time after which its caller should return, in whole milliseconds. */
	readonly retryAfterMs: number;
};

/** What this daemon knows of its own commits. */
export type CommitWatch = {
	/** Whether a commit of the job is under way or had no answer. */
	readonly mayBeStoring: (shard: string, id: string) => boolean;
	/** Monotonic time of the latest commit without an answer, of any rows. */
	readonly getUnansweredAt: () => number;
};

export type AdmissionGateDeps = {
	readonly shard: string;
	readonly store: Pick<RowStore, 'read'>;
	readonly commits: CommitWatch;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
	readonly listExecutors: () => readonly scheduler.ListedExecutor[];
	/** The owner while it may decide; absent otherwise. */
	readonly getOwner: () => scheduler.Owner | undefined;
};

export type AdmissionGate = {
	/** Resolves to a rejection, or to nothing if the job may be stored. */
	readonly admit: (
		job: scheduler.AcceptedJob,
	) => Promise<Rejection | undefined>;
};

/** Shortest and longest time between two outlooks, in milliseconds. */
const outlookPeriod = {minMs: 50, maxMs: 200} as const;

/**
 * Time between two outlooks, as a multiple of what making one takes: 5 ms for
 * 1,000 jobs of 8 tasks, and several times that on a part of a core.
 */
const outlookPauseFactor = 10;

/**
 * How long a job waits for the read before its rejection, in milliseconds: the
 * slowest usual answers take 300 ms, and the entry waits for 900 ms. The read
 * itself has the usual timeout, so that a slow answer does not count as none.
 */
const maxReadWaitMs = 300;

/** A commit without an answer may take effect for this long, in milliseconds. */
const unansweredCommitMs = 6000;

/** How long the largest capacity of the fleet is remembered, in milliseconds. */
const fleetPeakMs = 30_000;

type Verdict = Extract<scheduler.AdmissionVerdict, {readonly kind: 'reject'}>;

export const createAdmissionGate = (deps: AdmissionGateDeps): AdmissionGate => {
	const {shard, store, commits, clock, logger, metrics} = deps;
	const plan = scheduler.createReturnPlan();
	let outlook: scheduler.QueueOutlook | undefined;
	let nextOutlookAt = Number.NEGATIVE_INFINITY;
	let fleetPeak = {cpu: 0, at: Number.NEGATIVE_INFINITY};

	/** Machines that are being moved are listed nowhere for a moment. */
	const getFleetCpu = (): number => {
		const now = clock.now();
		const cpu = deps
			.listExecutors()
			.reduce((sum, {capacity}) => sum + capacity.cpuMillis, 0);
		if (cpu >= fleetPeak.cpu || now - fleetPeak.at > fleetPeakMs) {
			fleetPeak = {cpu, at: now};
		}

		return fleetPeak.cpu;
	};

	const getOutlook = (
		owner: scheduler.Owner,
		job: scheduler.AcceptedJob,
	): scheduler.QueueOutlook => {
		const now = clock.now();
		const epochNow = clock.epochNow();
		const known = now < nextOutlookAt ? outlook : undefined;
		const made =
			known ?? scheduler.makeQueueOutlook(owner, getFleetCpu(), now, epochNow);
		const waiting =
			made.waiting === undefined && scheduler.needsWaitingWork(made, job, now)
				? scheduler.listWaitingWork(owner, {now, epochNow})
				: made.waiting;
		outlook = {...made, waiting};
		const pauseMs = outlookPauseFactor * (clock.now() - now);
		const {minMs, maxMs} = outlookPeriod;
		const nextAt = made.madeAt + Math.min(maxMs, Math.max(minMs, pauseMs));
		nextOutlookAt = known ? Math.max(nextOutlookAt, nextAt) : nextAt;
		return outlook;
	};

	const acceptInPlace = (id: string): void => {
		scheduler.takePlace(plan, id);
		metrics.count('admission', 'accepted:in-place');
		logger.info('rejected job accepted on its return', {job: id});
	};

	/** Returns the verdict to reject; absent if the job is accepted. */
	const findVerdict = (job: scheduler.AcceptedJob): Verdict | undefined => {
		const {id, team} = job;
		const owner = deps.getOwner();
		const now = clock.now();
		if (!owner || owner.jobs.has(id) || scheduler.isInPlace(plan, id, now)) {
			return undefined;
		}

		const lane = team === undefined ? '' : scheduler.getRateLane(team);
		const placesDue = scheduler.countDuePlaces(plan, lane, now);
		const verdict = scheduler.decideAdmission(
			getOutlook(owner, job),
			{job, placesDue},
			now,
		);
		return verdict.kind === 'reject' ? verdict : undefined;
	};

	/** Whether no commit of this daemon may store the job, now or later. */
	const isUncommitted = (id: string): boolean =>
		!commits.mayBeStoring(shard, id) &&
		clock.now() - commits.getUnansweredAt() >= unansweredCommitMs;

	/** Whether the store shows that the job is not stored. */
	const isUnstored = async (id: string): Promise<boolean> => {
		const read = store.read(
			{table: tables.job, part: shard, from: id, to: getKeyAfter(id)},
			periods.storeTimeoutMs,
		);
		const page = await Promise.race([read, delay(maxReadWaitMs)]);
		return page?.ok === true && page.value.rows.length === 0;
	};

	const reject = (
		job: scheduler.AcceptedJob,
		{reason, expected}: Verdict,
	): Rejection => {
		const {id, team, policy} = job;
		const weight =
			team === undefined ? undefined : deps.getOwner()?.teamWeights.get(team);
		const retryAfterMs = scheduler.reservePlace(
			plan,
			{id, team, weight: weight ?? 1, priority: policy.priority, expected},
			clock.now(),
		);
		metrics.count('admission', `rejected:${reason}`);
		logger.info('job rejected', {
			job: id,
			queue: policy.queue,
			team,
			reason,
			retryAfterMs,
		});
		return {kind: 'rejected', reason, retryAfterMs};
	};

	return {
		async admit(job) {
			const {id} = job;
			if (scheduler.isInPlace(plan, id, clock.now())) {
				acceptInPlace(id);
				return undefined;
			}

			const isRejectable =
				findVerdict(job) !== undefined &&
				isUncommitted(id) &&
				(await isUnstored(id));
			// The job may have been stored, or the outlook changed, during the read.
			const verdict = isRejectable ? findVerdict(job) : undefined;
			if (verdict === undefined || !isUncommitted(id)) {
				scheduler.takePlace(plan, id);
				return undefined;
			}

			return reject(job, verdict);
		},
	};
};

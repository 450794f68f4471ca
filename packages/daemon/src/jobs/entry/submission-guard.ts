/**
 * Guards the submissions of an entry in a deployment that rejects unservable
 * jobs: refuses new ones at once while the store is slow, and lets the owner
 * reject only jobs that no earlier try at this entry may have stored. Source:
 * docs/design/job-admission.md.
 */
import {scheduler} from '@gullstand/core';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {JobMetrics} from '../job-metrics.js';
import type {OwnerChannel} from './owner-channel.js';
import type {SubmitOutcome} from './submissions.js';
import {createUnansweredTries} from './unanswered-tries.js';

/** The store is too slow; the job was not sent and is not stored. */
export type SlowStoreRefusal = {
	readonly kind: 'store-slow';
	readonly retryAfterMs: number;
};

export type SubmissionGuardDeps = {
	readonly owners: Pick<OwnerChannel, 'readJob'>;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
	readonly metrics: Pick<JobMetrics, 'count'>;
};

/** A submission that a caller waits for. */
export type GuardedSubmission = {
	readonly job: scheduler.AcceptedJob;
	/** Shards that may hold the job, the present one first. */
	readonly shards: readonly string[];
	readonly deadline: number;
	/** Submits the job; the owner may reject it only if `mayBeRejected`. */
	readonly send: (mayBeRejected: boolean) => Promise<SubmitOutcome>;
};

export type SubmissionGuard = {
	readonly submit: (
		submission: GuardedSubmission,
	) => Promise<SubmitOutcome | SlowStoreRefusal>;
};

/** What an outcome says about the store. */
const toCommitEnd = (outcome: SubmitOutcome): scheduler.CommitEnd =>
	match(outcome)
		.returnType<scheduler.CommitEnd>()
		// A repeat may be answered from memory, and a rejection needs no commit.
		.with({kind: 'accepted'}, ({isRepeat}) =>
			isRepeat ? 'not-committed' : 'answered',
		)
		.with(
			{kind: 'conflict'},
			{kind: 'cancelled'},
			{kind: 'rejected'},
			{kind: 'not-storable'},
			{kind: 'moved'},
			() => 'not-committed',
		)
		.with({kind: 'not-stored'}, {kind: 'unknown'}, () => 'unanswered')
		.exhaustive();

export const createSubmissionGuard = ({
	owners,
	now,
	logger,
	metrics,
}: SubmissionGuardDeps): SubmissionGuard => {
	const commits = scheduler.createCommitState();
	const tries = createUnansweredTries(now);

	/** Whether all owners answer that they do not know the job. */
	const isCertainlyNew = async (
		shards: readonly string[],
		{id, policy}: scheduler.AcceptedJob,
	): Promise<boolean> => {
		const answers = await Promise.all(
			shards.map(async (shard) => owners.readJob(shard, policy.queue, id)),
		);
		return answers.every(({kind}) => kind === 'unknown');
	};

	const refuseIfSlow = async ({
		job,
		shards,
		deadline,
	}: GuardedSubmission): Promise<SlowStoreRefusal | undefined> => {
		const verdict = scheduler.decideCommit(commits, deadline - now(), now());
		// A repeat of an accepted job must not be answered as not stored.
		if (verdict.kind === 'send' || !(await isCertainlyNew(shards, job))) {
			return undefined;
		}

		const {retryAfterMs} = verdict;
		metrics.count('admission', 'refused:store-slow');
		logger.info('submission refused, the store is slow', {
			job: job.id,
			expectedMs: Math.round(scheduler.getExpectedCommitMs(commits, now())),
			retryAfterMs,
		});
		return {kind: 'store-slow', retryAfterMs};
	};

	const send = async (
		{job, send: submit}: GuardedSubmission,
		mayBeRejected: boolean,
	): Promise<SubmitOutcome> => {
		const number = scheduler.recordCommitSent(commits, now());
		tries.begin(job.id);
		let outcome: SubmitOutcome = {kind: 'unknown'};
		try {
			outcome = await submit(mayBeRejected);
			return outcome;
		} finally {
			scheduler.recordCommitEnd(commits, number, toCommitEnd(outcome), now());
			tries.end(job.id, outcome.kind !== 'unknown');
		}
	};

	return {
		async submit(submission) {
			const wasSent = tries.has(submission.job.id);
			const refusal = wasSent ? undefined : await refuseIfSlow(submission);
			// Another try may have been sent while the owners were asked.
			const mayBeRejected = !tries.has(submission.job.id);
			return refusal !== undefined && mayBeRejected
				? refusal
				: send(submission, mayBeRejected);
		},
	};
};

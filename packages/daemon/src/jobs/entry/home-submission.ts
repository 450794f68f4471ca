/**
 * Submits a job to the home of its queue: to the service that the configuration
 * names, and to the one that is said to be the home instead.
 */
import type {scheduler} from '@gullstand/core';
import type {QueueRoute} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {Clock} from '../clock.js';
import {periods} from '../periods.js';
import {getServiceShard} from '../rows/tables.js';
import type {OwnerChannel, PlacedJob} from './owner-channel.js';
import {getHomeClaim, type Routes} from './routes.js';
import type {Submissions, SubmitOutcome} from './submissions.js';

export type HomeSubmissionDeps = {
	readonly routes: Pick<Routes, 'get' | 'getByName'>;
	readonly submissions: Pick<Submissions, 'submit'>;
	readonly owners: Pick<OwnerChannel, 'submit'>;
	/** Submits a job through another entry; absent if none answers. */
	readonly submitThroughPeer: (
		placed: PlacedJob,
		timeoutMs: number,
	) => Promise<SubmitOutcome | undefined>;
	readonly clock: Clock;
	readonly logger: Pick<Logger, 'info'>;
};

/** Submits a job; the deadline is in milliseconds of the monotonic clock. */
export type SubmitToHome = (
	route: QueueRoute,
	job: scheduler.AcceptedJob,
	deadline: number,
	mayBeRejected: boolean,
) => Promise<SubmitOutcome>;

/**
 * Bound on a submission through the owner, in milliseconds: its commit and one
 * round trip between daemons, also while the store's answers take 300 ms.
 */
const ownerSubmitTimeoutMs = 900;

/** Services to which a submission follows its queue. */
const maxMoves = 3;

export const createHomeSubmission = ({
	routes,
	submissions,
	owners,
	submitThroughPeer,
	clock: {now},
	logger,
}: HomeSubmissionDeps): SubmitToHome => {
	/**
	 * Submits to the service of the route, and to those to which the queue turns
	 * out to have moved.
	 */
	const submitToHome: SubmitToHome = async (
		route,
		job,
		deadline,
		mayBeRejected,
	) => {
		let {service, configuration} = getHomeClaim(routes, route);
		let wasLost = false;
		let outcome: SubmitOutcome = {kind: 'not-stored'};
		for (let moves = 0; moves < maxMoves && now() < deadline; moves += 1) {
			const placed = {shard: getServiceShard(service), job, configuration};
			const answer = await submitWithFallbacks(
				placed,
				deadline,
				mayBeRejected && !wasLost,
			);
			({outcome} = answer);
			wasLost ||= answer.wasLost;
			if (outcome.kind !== 'moved') {
				break;
			}

			({service, configuration} = outcome);
			logger.info('queue has moved', {
				job: job.id,
				queue: route.name,
				service,
				configuration,
			});
		}

		const isRefused =
			outcome.kind === 'not-stored' ||
			outcome.kind === 'not-storable' ||
			outcome.kind === 'moved';
		// After a try without an answer, the job may be stored.
		return wasLost && isRefused ? {kind: 'unknown'} : outcome;
	};

	/**
	 * Submits through the owner, which stores many jobs per transaction, then
	 * directly to the store, then through another entry. Retries are idempotent
	 * by the job's id, but after a lost answer it is never reported as not stored.
	 * Only the owner's first answer may be a rejection.
	 */
	const submitWithFallbacks = async (
		placed: PlacedJob,
		deadline: number,
		mayBeRejected: boolean,
	): Promise<{
		readonly outcome: SubmitOutcome;
		/** Whether a try had no answer. */
		readonly wasLost: boolean;
	}> => {
		const getTimeoutMs = (maxMs: number): number =>
			Math.max(1, Math.min(maxMs, deadline - now()));
		const first = await owners.submit(
			placed,
			getTimeoutMs(ownerSubmitTimeoutMs),
			mayBeRejected,
		);
		const wasLost = first !== 'no-owner' && first.kind === 'unknown';
		if (first !== 'no-owner' && !wasLost && first.kind !== 'not-stored') {
			return {outcome: first, wasLost};
		}

		const {shard, job, configuration} = placed;
		const second = await submissions.submit(
			shard,
			job,
			deadline,
			configuration,
		);
		if (second.kind !== 'not-stored') {
			return {outcome: second, wasLost};
		}

		const third =
			now() < deadline
				? await submitThroughPeer(placed, getTimeoutMs(periods.storeTimeoutMs))
				: undefined;
		return {outcome: third ?? second, wasLost};
	};

	return submitToHome;
};

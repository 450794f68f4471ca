/**
 * An entry's calls to the owner of a shard: in-process if this daemon owns it,
 * otherwise over the peer channel.
 */
import type {scheduler} from '@gullstand/core';
import type {StoredRow} from '@gullstand/ports';
import type {PeerChannel} from '../../peers/peer-channel.js';
import type {JobStateAnswer, OwnerRunner} from '../owner/owner-runner.js';
import type {JobPeerMethods} from '../peer-methods.js';
import {periods} from '../periods.js';
import type {LeaseCache} from '../shards/lease-cache.js';
import type {SubmitOutcome} from './submissions.js';

export type OwnerChannelDeps = {
	readonly book: LeaseCache;
	readonly peers: Pick<PeerChannel, 'call'>;
	readonly getLocal: (shard: string) => OwnerRunner | undefined;
};

/** A job, and the shard in which it is to be stored. */
export type PlacedJob = {
	readonly shard: string;
	readonly job: scheduler.AcceptedJob;
	/** Version of the configuration that names the shard's service. */
	readonly configuration: number;
};

/** Calls to owners; a failed call resolves to `not-owner` or undefined. */
export type OwnerChannel = {
	/** Sends job rows; resolves to whether the owner received them. */
	readonly sendRows: (
		shard: string,
		rows: readonly StoredRow[],
	) => Promise<boolean>;
	readonly readJob: (
		shard: string,
		queue: string,
		id: string,
	) => Promise<JobStateAnswer>;
	readonly countPending: (
		shard: string,
		queue: string,
	) => Promise<number | undefined>;
	readonly evacuate: (
		shard: string,
		executorId: string,
		request: scheduler.EvacuationRequest,
	) => Promise<scheduler.EvacuationState | undefined>;
	/** Lets the owner use an executor again that will not be commanded. */
	readonly releaseEvacuation: (
		shard: string,
		executorId: string,
		order: scheduler.RequestOrder,
	) => Promise<void>;
	/**
	 * Submits a job through the owner, which stores many per transaction; it may
	 * reject the job only if `mayBeRejected`.
	 */
	readonly submit: (
		placed: PlacedJob,
		timeoutMs: number,
		mayBeRejected?: boolean,
	) => Promise<SubmitOutcome | 'no-owner'>;
	readonly readLoad: (
		shard: string,
	) => Promise<scheduler.ServiceLoad | undefined>;
};

export const createOwnerChannel = (deps: OwnerChannelDeps): OwnerChannel => {
	const {book, peers, getLocal} = deps;
	const getAddress = (shard: string): string | undefined => {
		const lease = book.get(shard);
		return lease?.value.holder ? lease.value.address : undefined;
	};

	/** Calls the local runner or the remote owner; undefined if none answers. */
	const callOwner = async <Name extends keyof JobPeerMethods>(
		name: Name,
		params: JobPeerMethods[Name]['params'] & {readonly shard: string},
		callLocal: (
			local: OwnerRunner,
		) =>
			JobPeerMethods[Name]['result'] | Promise<JobPeerMethods[Name]['result']>,
	): Promise<JobPeerMethods[Name]['result'] | undefined> => {
		const local = getLocal(params.shard);
		if (local) {
			return callLocal(local);
		}

		const address = getAddress(params.shard);
		if (address === undefined) {
			return undefined;
		}

		const answer = await peers.call(
			address,
			name,
			params,
			periods.peerTimeoutMs,
		);
		return answer.ok ? answer.value : undefined;
	};

	return {
		async sendRows(shard, rows) {
			const answer = await callOwner('noteRows', {shard, rows}, (local) => {
				local.applyRows(rows);
				return {isOwner: true};
			});
			return answer?.isOwner ?? false;
		},
		async readJob(shard, queue, id) {
			const answer = await callOwner('readJob', {shard, queue, id}, (local) =>
				local.readJob(id, queue),
			);
			return answer ?? {kind: 'not-owner'};
		},
		async countPending(shard, queue) {
			const answer = await callOwner(
				'countPending',
				{shard, queue},
				(local) => ({
					pending: local.countPending(queue),
				}),
			);
			return answer?.pending;
		},
		async evacuate(shard, executorId, request) {
			const params = {shard, executorId, ...request};
			const answer = await callOwner('evacuate', params, async (local) => ({
				state: await local.evacuate(executorId, request),
			}));
			return answer?.state;
		},
		async releaseEvacuation(shard, executorId, order) {
			const params = {shard, executorId, order};
			await callOwner('releaseEvacuation', params, (local) => {
				local.releaseEvacuation(executorId, order);
				return {};
			});
		},
		async readLoad(shard) {
			const answer = await callOwner('readLoad', {shard}, (local) => ({
				load: local.getLoad(),
			}));
			return answer?.load;
		},
		async submit(placed, timeoutMs, mayBeRejected) {
			const {shard, job} = placed;
			const address = getAddress(shard);
			const local = getLocal(shard);
			// A local owner uses the same store connection, so it cannot help.
			if (address === undefined || local !== undefined) {
				const rejection = mayBeRejected ? await local?.admit(job) : undefined;
				return rejection ?? 'no-owner';
			}

			const params = {
				...placed,
				timeoutMs,
				knowsNotStorable: true,
				knowsCancelled: true,
				...(mayBeRejected ? {mayBeRejected} : {}),
			};
			const answer = await peers.call(address, 'submitJob', params, timeoutMs);
			if (answer.ok) {
				return answer.value;
			}

			return answer.error.kind === 'unreachable'
				? 'no-owner'
				: {kind: 'unknown'};
		},
	};
};

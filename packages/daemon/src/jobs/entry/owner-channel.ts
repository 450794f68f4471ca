/**
 * What an entry asks of the owner of a shard or tells it: directly if this
 * daemon owns it, else over the peer channel.
 */
import type {scheduler} from '@gullstand/core';
import type {StoredRow} from '@gullstand/ports';
import type {PeerChannel} from '../../peers/peer-channel.js';
import type {JobStateAnswer, OwnerRunner} from '../owner/owner-runner.js';
import type {JobPeerMethods} from '../peer-methods.js';
import {periods} from '../periods.js';
import type {LeaseBook} from '../shards/lease-book.js';
import type {SubmitOutcome} from './submissions.js';

/** What the channel needs. */
export type OwnerChannelDeps = {
	readonly book: LeaseBook;
	readonly peers: Pick<PeerChannel, 'call'>;
	readonly getLocal: (shard: string) => OwnerRunner | undefined;
};

/** Calls to owners. Those that fail say `not-owner` or nothing. */
export type OwnerChannel = {
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
		patienceMs: number,
	) => Promise<scheduler.EvacuationState | undefined>;
	readonly reportTerminated: (
		shard: string,
		executorId: string,
	) => Promise<void>;
	/** Hands a job in through the owner, which stores many at once. */
	readonly submit: (
		shard: string,
		job: scheduler.AcceptedJob,
		timeoutMs: number,
	) => Promise<SubmitOutcome | 'no-owner'>;
	readonly readLoad: (
		shard: string,
	) => Promise<scheduler.ServiceLoad | undefined>;
};

/** Creates the channel. */
export const createOwnerChannel = (deps: OwnerChannelDeps): OwnerChannel => {
	const {book, peers, getLocal} = deps;
	const getAddress = (shard: string): string | undefined => {
		const lease = book.get(shard);
		return lease?.value.holder ? lease.value.address : undefined;
	};

	/** Asks the runner here, else the owner; undefined if nobody answers. */
	const ask = async <Name extends keyof JobPeerMethods>(
		name: Name,
		params: JobPeerMethods[Name]['params'] & {readonly shard: string},
		askHere: (local: OwnerRunner) => JobPeerMethods[Name]['result'],
	): Promise<JobPeerMethods[Name]['result'] | undefined> => {
		const local = getLocal(params.shard);
		if (local) {
			return askHere(local);
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
			const answer = await ask('noteRows', {shard, rows}, (local) => {
				local.applyRows(rows);
				return {isOwner: true};
			});
			return answer?.isOwner ?? false;
		},
		async readJob(shard, queue, id) {
			const answer = await ask('readJob', {shard, queue, id}, (local) =>
				local.readJob(id, queue),
			);
			return answer ?? {kind: 'not-owner'};
		},
		async countPending(shard, queue) {
			const answer = await ask('countPending', {shard, queue}, (local) => ({
				pending: local.countPending(queue),
			}));
			return answer?.pending;
		},
		async evacuate(shard, executorId, patienceMs) {
			const params = {shard, executorId, patienceMs};
			const answer = await ask('evacuate', params, (local) => ({
				state: local.evacuate(executorId, patienceMs),
			}));
			return answer?.state;
		},
		async reportTerminated(shard, executorId) {
			await ask('noteGone', {shard, executorId}, (local) => {
				local.markTerminated(executorId);
				return {};
			});
		},
		async readLoad(shard) {
			const answer = await ask('readLoad', {shard}, (local) => ({
				load: local.getLoad(),
			}));
			return answer?.load;
		},
		async submit(shard, job, timeoutMs) {
			const address = getAddress(shard);
			// An owner here has the same store, which did not take the job.
			if (address === undefined || getLocal(shard) !== undefined) {
				return 'no-owner';
			}

			const params = {shard, job, timeoutMs};
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

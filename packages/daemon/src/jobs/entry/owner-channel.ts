/**
 * What an entry asks of the owner of a shard or tells it: directly if this
 * daemon owns it, else over the peer channel.
 */
import type {scheduler} from '@gullstand/core';
import type {ChangedRow, StoredRow} from '@gullstand/ports';
import type {PeerChannel} from '../../peers/peer-channel.js';
import type {JobReading, OwnerRunner} from '../owner/owner-runner.js';
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
	readonly tellRows: (
		shard: string,
		rows: readonly StoredRow[],
	) => Promise<boolean>;
	readonly readJob: (
		shard: string,
		queue: string,
		id: string,
	) => Promise<JobReading>;
	readonly countPending: (
		shard: string,
		queue: string,
	) => Promise<number | undefined>;
	readonly evacuate: (
		shard: string,
		executorId: string,
		patienceMs: number,
	) => Promise<scheduler.EvacuationState | undefined>;
	readonly noteGone: (shard: string, executorId: string) => Promise<void>;
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

	return {
		async tellRows(shard, rows) {
			const local = getLocal(shard);
			if (local) {
				local.noteRows(rows);
				return true;
			}

			const address = getAddress(shard);
			if (address === undefined) {
				return false;
			}

			const changed: readonly ChangedRow[] = rows;
			const answer = await peers.call(
				address,
				'noteRows',
				{shard, rows: changed},
				periods.peerTimeoutMs,
			);
			return answer.ok && answer.value.isOwner;
		},
		async readJob(shard, queue, id) {
			const local = getLocal(shard);
			if (local) {
				return local.readJob(id, queue);
			}

			const address = getAddress(shard);
			if (address === undefined) {
				return {kind: 'not-owner'};
			}

			const answer = await peers.call(
				address,
				'readJob',
				{shard, queue, id},
				periods.peerTimeoutMs,
			);
			return answer.ok ? answer.value : {kind: 'not-owner'};
		},
		async countPending(shard, queue) {
			const local = getLocal(shard);
			if (local) {
				return local.countPending(queue);
			}

			const address = getAddress(shard);
			if (address === undefined) {
				return undefined;
			}

			const answer = await peers.call(
				address,
				'countPending',
				{shard, queue},
				periods.peerTimeoutMs,
			);
			return answer.ok ? answer.value.pending : undefined;
		},
		async evacuate(shard, executorId, patienceMs) {
			const local = getLocal(shard);
			if (local) {
				return local.evacuate(executorId, patienceMs);
			}

			const address = getAddress(shard);
			if (address === undefined) {
				return undefined;
			}

			const answer = await peers.call(
				address,
				'evacuate',
				{shard, executorId, patienceMs},
				periods.peerTimeoutMs,
			);
			return answer.ok ? answer.value.state : undefined;
		},
		async noteGone(shard, executorId) {
			const local = getLocal(shard);
			const address = getAddress(shard);
			if (local) {
				local.noteGone(executorId);
			} else if (address !== undefined) {
				await peers.call(
					address,
					'noteGone',
					{shard, executorId},
					periods.peerTimeoutMs,
				);
			}
		},
		async submit(shard, job, timeoutMs) {
			const address = getAddress(shard);
			if (getLocal(shard) ?? address === undefined) {
				return 'no-owner';
			}

			const answer = await peers.call(
				address ?? '',
				'submitJob',
				{shard, job, timeoutMs},
				timeoutMs,
			);
			if (answer.ok) {
				return answer.value;
			}

			return answer.error.kind === 'unreachable'
				? 'no-owner'
				: {kind: 'unknown'};
		},
		async readLoad(shard) {
			const local = getLocal(shard);
			if (local) {
				return local.getLoad();
			}

			const address = getAddress(shard);
			if (address === undefined) {
				return undefined;
			}

			const answer = await peers.call(
				address,
				'readLoad',
				{shard},
				periods.peerTimeoutMs,
			);
			return answer.ok ? answer.value.load : undefined;
		},
	};
};

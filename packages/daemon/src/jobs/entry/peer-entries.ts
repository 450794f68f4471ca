/** Asks other daemons to do for this one what the store does not let it do. */
import type {acknowledgement, scheduler} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import type {PeerChannel} from '../../peers/peer-channel.js';
import type {JobPeerMethods} from '../peer-methods.js';
import {periods} from '../periods.js';
import type {ShardHolder} from '../shards/lease-book.js';
import type {Members} from '../shards/members.js';
import type {CancelOutcome} from './cancel-outcome.js';
import type {SubmitOutcome} from './submissions.js';

/** What is needed to ask. */
export type PeerEntriesDeps = {
	readonly self: acknowledgement.EntryLife;
	readonly members: Members;
	/** Those that hold shards by the leases, for a daemon that has just started. */
	readonly listHolders: () => readonly ShardHolder[];
	readonly peers: Pick<PeerChannel, 'call'>;
	readonly logger: Pick<Logger, 'info'>;
};

/** The other daemons. */
export type PeerEntries = {
	/** Absent if none answers, so that it is certainly not stored by them. */
	readonly submit: (
		job: scheduler.AcceptedJob,
		shard: string,
		timeoutMs: number,
	) => Promise<SubmitOutcome | undefined>;
	/** Absent if none answers. */
	readonly cancel: (
		queue: string,
		id: string,
		timeoutMs: number,
	) => Promise<CancelOutcome | undefined>;
	/** Tells holders and candidates that a shard may be claimed. */
	readonly notifyReleased: (shard: string) => void;
	/** Tells the same that this daemon is stopping and claims nothing. */
	readonly notifyLeaving: () => void;
};

/** Daemons asked one after another. */
const maxAsked = 2;

/** Daemons told at once: more than there are holders and candidates. */
const maxTold = 16;

/** Creates the calls. */
export const createPeerEntries = (deps: PeerEntriesDeps): PeerEntries => {
	const {self, members, peers, logger} = deps;

	/**
	 * Those heard of last in front: without the store, all heartbeats are old
	 * here and say little.
	 */
	const listAddresses = (): readonly ShardHolder[] => {
		const heard = members.listAll().map((entry) => ({
			entry,
			address: members.get(entry)?.address ?? '',
		}));
		const unheard = deps
			.listHolders()
			.filter(({entry}) => members.get(entry) === undefined);
		return [...heard, ...unheard].filter(({entry}) => entry !== self.entry);
	};

	const tellAll = <Name extends 'shardReleased' | 'daemonLeaving'>(
		method: Name,
		params: JobPeerMethods[Name]['params'],
	) => {
		for (const {address} of listAddresses().slice(0, maxTold)) {
			void peers.call(address, method, params, periods.peerTimeoutMs);
		}
	};

	return {
		async submit(job, shard, timeoutMs) {
			for (const {entry, address} of listAddresses().slice(0, maxAsked)) {
				const params = {shard, job, timeoutMs};
				const answer = await peers.call(
					address,
					'submitJob',
					params,
					timeoutMs,
				);
				logger.info('job handed in elsewhere', {
					job: job.id,
					through: entry,
					outcome: answer.ok ? answer.value.kind : answer.error.kind,
				});
				if (!answer.ok && answer.error.kind !== 'unreachable') {
					return {kind: 'unknown'};
				}

				if (answer.ok && answer.value.kind !== 'not-stored') {
					return answer.value;
				}
			}

			return undefined;
		},
		async cancel(queue, id, timeoutMs) {
			for (const {entry, address} of listAddresses().slice(0, maxAsked)) {
				const params = {queue, id, timeoutMs};
				const answer = await peers.call(
					address,
					'cancelJob',
					params,
					timeoutMs,
				);
				logger.info('job cancelled elsewhere', {
					job: id,
					through: entry,
					outcome: answer.ok ? answer.value.outcome : answer.error.kind,
				});
				if (answer.ok && answer.value.outcome !== 'store-unavailable') {
					return answer.value.outcome;
				}
			}

			return undefined;
		},
		notifyReleased(shard) {
			tellAll('shardReleased', {shard});
		},
		notifyLeaving() {
			tellAll('daemonLeaving', self);
		},
	};
};

/** Calls to other entries, for instance while the store refuses this daemon. */
import type {acknowledgement} from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import type {PeerChannel} from '../../peers/peer-channel.js';
import type {JobPeerMethods} from '../peer-methods.js';
import {periods} from '../periods.js';
import type {ShardHolder} from '../shards/lease-cache.js';
import type {Members} from '../shards/members.js';
import type {Caller} from './caller-access.js';
import type {CancelOutcome} from './cancel-outcome.js';
import type {ConfirmedVersion} from './configuration-confirmation.js';
import type {PlacedJob} from './owner-channel.js';
import type {SubmitOutcome} from './submissions.js';

export type PeerEntriesDeps = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly members: Members;
	/** Lists the shard holders by the leases; a new daemon knows no members. */
	readonly listHolders: () => readonly ShardHolder[];
	readonly peers: Pick<PeerChannel, 'call'>;
	readonly logger: Pick<Logger, 'info'>;
};

/** Calls to other entries. */
export type PeerEntries = {
	/** Absent if no entry stored the job or may store it. */
	readonly submit: (
		placed: PlacedJob,
		timeoutMs: number,
	) => Promise<SubmitOutcome | undefined>;
	/** Absent if no entry answers or can use the store. */
	readonly cancel: (
		queue: string,
		id: string,
		timeoutMs: number,
		caller: Caller,
	) => Promise<CancelOutcome | undefined>;
	/** Asks for the latest version of the configuration; absent if none knows. */
	readonly confirmConfiguration: () => Promise<ConfirmedVersion | undefined>;
	/** Notifies holders and candidates that a shard may be claimed. */
	readonly notifyReleased: (shard: string) => void;
	/** Notifies holders and candidates that this daemon is stopping. */
	readonly notifyLeaving: () => void;
};

/** Entries tried one after another. */
const maxAsked = 2;

/** Entries notified: more than there are holders and candidates. */
const maxNotified = 16;

export const createPeerEntries = (deps: PeerEntriesDeps): PeerEntries => {
	const {self, members, peers, logger} = deps;

	/** Lists the other entries, those with the latest heartbeat first. */
	const listOthers = (): readonly ShardHolder[] => {
		const observed = members.listAll().map((entry) => ({
			entry,
			address: members.get(entry)?.address ?? '',
		}));
		const unobserved = deps
			.listHolders()
			.filter(({entry}) => members.get(entry) === undefined);
		return [...observed, ...unobserved].filter(
			({entry}) => entry !== self.entry,
		);
	};

	const notifyAll = <Name extends 'shardReleased' | 'daemonLeaving'>(
		method: Name,
		params: JobPeerMethods[Name]['params'],
	) => {
		for (const {address} of listOthers().slice(0, maxNotified)) {
			void peers.call(address, method, params, periods.peerTimeoutMs);
		}
	};

	return {
		async submit(placed, timeoutMs) {
			for (const {entry, address} of listOthers().slice(0, maxAsked)) {
				const params = {
					...placed,
					timeoutMs,
					knowsNotStorable: true,
					knowsCancelled: true,
				};
				const answer = await peers.call(
					address,
					'submitJob',
					params,
					timeoutMs,
				);
				logger.info('job submitted through peer', {
					job: placed.job.id,
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
		async cancel(queue, id, timeoutMs, caller) {
			const team = caller.kind === 'team' ? caller.team : undefined;
			for (const {entry, address} of listOthers().slice(0, maxAsked)) {
				const params = {queue, id, timeoutMs, team};
				const answer = await peers.call(
					address,
					'cancelJob',
					params,
					timeoutMs,
				);
				logger.info('job cancelled through peer', {
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
		async confirmConfiguration() {
			for (const {address} of listOthers().slice(0, maxAsked)) {
				const answer = await peers.call(
					address,
					'confirmConfiguration',
					{},
					periods.peerTimeoutMs,
				);
				if (answer.ok && answer.value.confirmed) {
					return answer.value.confirmed;
				}
			}

			return undefined;
		},
		notifyReleased(shard) {
			notifyAll('shardReleased', {shard});
		},
		notifyLeaving() {
			notifyAll('daemonLeaving', self);
		},
	};
};

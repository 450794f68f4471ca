/** Handlers of the calls from other daemons. */
import type {PeerChannel} from '../peers/peer-channel.js';
import {anyCaller, type Caller} from './entry/caller-access.js';
import type {CancelOutcome} from './entry/cancel-outcome.js';
import type {ConfigurationConfirmation} from './entry/configuration-confirmation.js';
import type {JobService} from './entry/job-service.js';
import type {Routes} from './entry/routes.js';
import type {Submissions} from './entry/submissions.js';
import type {OwnedServices} from './owner/owned-services.js';
import {jobPeerSchemas, type JobPeerMethods} from './peer-methods.js';
import type {Members} from './shards/members.js';
import type {ShardLeaseManager} from './shards/shard-lease-manager.js';

export type PeerHandlersDeps = {
	/** Incarnation of this daemon. */
	readonly incarnation: string;
	readonly owned: Pick<OwnedServices, 'get'>;
	readonly submissions: Submissions;
	readonly service: Pick<JobService, 'cancelHere'>;
	readonly routes: Pick<Routes, 'getByName'>;
	readonly confirmation: Pick<ConfigurationConfirmation, 'describe'>;
	readonly leaseManager: ShardLeaseManager;
	readonly members: Pick<Members, 'noteLeaving'>;
	/** Reads the leases without waiting for the next poll. */
	readonly readLeases: () => void;
	readonly now: () => number;
};

const cancelForPeer = async (
	{routes, service, now}: PeerHandlersDeps,
	{queue, id, timeoutMs, team}: JobPeerMethods['cancelJob']['params'],
): Promise<CancelOutcome> => {
	const route = routes.getByName(queue);
	if (!route) {
		return 'store-unavailable';
	}

	const caller: Caller =
		team === undefined ? anyCaller : {kind: 'team', team, keyHash: ''};
	const result = await service.cancelHere(route, id, now() + timeoutMs, caller);
	if (result.ok) {
		return 'cancelled';
	}

	const {error} = result;
	return error === 'unknown-job' || error === 'store-unknown'
		? error
		: 'store-unavailable';
};

const registerJobMethods = (
	channel: Pick<PeerChannel, 'addMethod'>,
	deps: PeerHandlersDeps,
): void => {
	const {owned, submissions, now} = deps;
	channel.addMethod('noteRows', jobPeerSchemas.noteRows, ({shard, rows}) => {
		const runner = owned.get(shard);
		runner?.applyRows(rows);
		return {isOwner: runner !== undefined};
	});
	channel.addMethod(
		'readJob',
		jobPeerSchemas.readJob,
		({shard, queue, id}) =>
			owned.get(shard)?.readJob(id, queue) ?? {kind: 'not-owner'},
	);
	channel.addMethod(
		'countPending',
		jobPeerSchemas.countPending,
		({shard, queue}) => ({pending: owned.get(shard)?.countPending(queue)}),
	);
	channel.addMethod(
		'submitJob',
		jobPeerSchemas.submitJob,
		async ({
			shard,
			job,
			timeoutMs,
			mayBeRejected = false,
			knowsNotStorable = false,
			knowsCancelled = false,
			configuration,
		}) => {
			const deadline = now() + timeoutMs;
			const owner = mayBeRejected ? owned.get(shard) : undefined;
			const rejection = await owner?.admit(job);
			const outcome =
				rejection ??
				(await submissions.submit(shard, job, deadline, configuration ?? 0));
			if (outcome.kind === 'cancelled' && !knowsCancelled) {
				return {kind: 'conflict'};
			}

			const isUnknownToCaller =
				(outcome.kind === 'not-storable' && !knowsNotStorable) ||
				(outcome.kind === 'moved' && configuration === undefined);
			return isUnknownToCaller ? {kind: 'not-stored'} : outcome;
		},
	);
	channel.addMethod('cancelJob', jobPeerSchemas.cancelJob, async (params) => ({
		outcome: await cancelForPeer(deps, params),
	}));
};

const registerControlMethods = (
	channel: Pick<PeerChannel, 'addMethod'>,
	deps: PeerHandlersDeps,
): void => {
	const {owned, leaseManager, members, incarnation, readLeases} = deps;
	channel.addMethod(
		'confirmConfiguration',
		jobPeerSchemas.confirmConfiguration,
		() => ({confirmed: deps.confirmation.describe()}),
	);
	channel.addMethod(
		'evacuate',
		jobPeerSchemas.evacuate,
		async ({shard, executorId, ...request}) => ({
			state: await owned.get(shard)?.evacuate(executorId, request),
		}),
	);
	channel.addMethod(
		'releaseEvacuation',
		jobPeerSchemas.releaseEvacuation,
		({shard, executorId, order}) => {
			owned.get(shard)?.releaseEvacuation(executorId, order);
			return {};
		},
	);
	channel.addMethod('readLoad', jobPeerSchemas.readLoad, ({shard}) => ({
		load: owned.get(shard)?.getLoad(),
	}));
	channel.addMethod('depose', jobPeerSchemas.depose, ({shard, token}) => {
		const held = leaseManager.listHeld().find((each) => each.shard === shard);
		if (held && held.token < token) {
			leaseManager.handleFenced(shard);
		}

		return {incarnation};
	});
	channel.addMethod('shardReleased', jobPeerSchemas.shardReleased, () => {
		readLeases();
		leaseManager.checkNow();
		return {};
	});
	channel.addMethod(
		'daemonLeaving',
		jobPeerSchemas.daemonLeaving,
		({entry, incarnation: leaving}) => {
			members.noteLeaving(entry, leaving);
			return {};
		},
	);
};

export const registerPeerHandlers = (
	channel: Pick<PeerChannel, 'addMethod'>,
	deps: PeerHandlersDeps,
): void => {
	registerJobMethods(channel, deps);
	registerControlMethods(channel, deps);
};

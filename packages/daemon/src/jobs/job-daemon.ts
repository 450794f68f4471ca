/**
 * The jobs side of a daemon, without its listeners: follows the configuration,
 * claims shards, runs the services that it owns and serves callers and peers.
 */
import {randomUUID} from 'node:crypto';
import type {fleet, scheduler, shardAssignment, teams} from '@gullstand/core';
import type {
	AdviceService,
	ExecutorFeed,
	Executors,
	FeedBatch,
	Machines,
	OperatorEntry,
	OperatorFeed,
	RowStore,
	StoredRow,
	WaveRequest,
} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../log/logger.js';
import {createPeerChannel, type PeerChannel} from '../peers/peer-channel.js';
import type {ReportFailure} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';
import {delay, type Clock} from './clock.js';
import {createCallerAccess, type CallerAccess} from './entry/caller-access.js';
import {createConfigurationConfirmation} from './entry/configuration-confirmation.js';
import {createGatekeeper} from './entry/gatekeeper.js';
import {createJobService, type JobService} from './entry/job-service.js';
import {createPeerEntries} from './entry/peer-entries.js';
import {createOwnerChannel} from './entry/owner-channel.js';
import {createQueueGates} from './entry/queue-gates.js';
import {createQueueHistory} from './entry/queue-history.js';
import {createRoutes, type Routes} from './entry/routes.js';
import {createSubmissionGuard} from './entry/submission-guard.js';
import {createSubmissions} from './entry/submissions.js';
import {createTombstones} from './entry/tombstones.js';
import {createFleetRunner, type FleetRunner} from './fleet/fleet-runner.js';
import type {WaveStatusPort} from './fleet/machine-wave-runner.js';
import {reportUnreadableMachines} from './fleet/unreadable-machines.js';
import {createJobMetrics, type JobMetrics} from './job-metrics.js';
import {
	createOwnedServices,
	type OwnedServices,
} from './owner/owned-services.js';
import {obtainPeerKey} from './peer-key.js';
import {registerPeerHandlers} from './peer-handlers.js';
import {followPeriods, periods} from './periods.js';
import {createFeedFollower} from './rows/feed-follower.js';
import {createRowFaults} from './rows/row-faults.js';
import {watchStore} from './rows/store-health.js';
import {createChangesOnlyFeed, createTableFeed} from './rows/table-feed.js';
import {
	fleetShard,
	getServiceShard,
	parseServiceShard,
	tables,
	type LeaseRow,
} from './rows/tables.js';
import {createHeartbeat} from './shards/heartbeat.js';
import {createLeaseCache} from './shards/lease-cache.js';
import {createMembers} from './shards/members.js';
import type {HeldShard} from './shards/held-shard.js';
import {
	listTeams,
	registerTeamGauges,
	type TeamOverview,
} from './team-overview.js';
import {createShardLeaseManager} from './shards/shard-lease-manager.js';
import {createEntryRole} from './shards/entry-role.js';

/** The parts of the platform that the jobs side uses. */
export type JobPlatform = {
	readonly store: RowStore;
	readonly operator: OperatorFeed;
	readonly executorFeed: ExecutorFeed;
	readonly executors: Executors;
	readonly machines: Machines;
	readonly advice?: AdviceService;
	readonly waveStatus: WaveStatusPort;
};

export type JobDaemonSettings = {
	readonly name: string;
	readonly peers: {readonly address: string; readonly port: number};
	/** Resources of this machine; shards go to the most capable daemons. */
	readonly capacity?: shardAssignment.EntryCapacity;
	readonly scheduler: scheduler.SchedulerConfig;
	readonly pools: fleet.PoolConfig;
	/** Bounds on keys, for deployments with teams. */
	readonly keys: teams.KeyPolicy;
	/** Time between commands of two holders for one machine, in milliseconds. */
	readonly machineTurnoverMs: number;
};

export type JobDaemonDeps = {
	readonly settings: JobDaemonSettings;
	readonly platform: JobPlatform;
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Logger;
};

export type JobDaemon = {
	/** Starts all parts; resolves once the daemon can serve callers. */
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	/** Becomes not ready and releases all shards; callers are still served. */
	readonly handOverShards: () => Promise<void>;
	/** Releases all shards and stops all parts. */
	readonly stop: () => Promise<void>;
	/** Whether the balancer should send callers to this daemon. */
	readonly isReady: () => boolean;
	readonly service: JobService;
	readonly access: Pick<CallerAccess, 'authenticate'>;
	/** Lists the jobs of the services that this daemon owns. */
	readonly listJobs: OwnedServices['listJobs'];
	/** Lists the teams, with their shares in the services that it owns. */
	readonly listTeams: () => readonly TeamOverview[];
	/** Why tasks of a job do not run; absent if this daemon does not own it. */
	readonly explain: OwnedServices['explain'];
	readonly routes: Routes;
	readonly metrics: JobMetrics;
};

/** Name of the operators' feed in log lines and metrics. */
const operatorName = 'operator';

export const createJobDaemon = (deps: JobDaemonDeps): JobDaemon => {
	const {settings, platform, clock, logger} = deps;
	const {now} = clock;
	const watched = watchStore(platform.store, now);
	const {store} = watched;
	const self = {entry: settings.name, incarnation: randomUUID()};
	const routes = createRoutes();
	const metrics = createJobMetrics();
	const rowFaults = createRowFaults({logger, metrics});
	const waves = new Map<string, WaveRequest>();
	let peers: PeerChannel | undefined;
	let fleetRunner: FleetRunner | undefined;
	const state = {isStopping: false, isStarted: false};
	let reportFailure: ReportFailure = () => undefined;

	const getAddress = (): string => peers?.getAddress() ?? '';

	const members = createMembers({
		now,
		observationGapMs: periods.observationGapMs,
		logger,
		rowFaults,
	});
	const leases = createLeaseCache({
		logger,
		rowFaults,
		now,
		onChange(shard, lease) {
			leaseManager.applyLease(shard, lease);
		},
	});

	const hasService = (name: string): boolean => {
		const configuration = routes.get();
		return (
			configuration !== undefined &&
			(configuration.services.some((each) => each.name === name) ||
				configuration.routes.some(({service}) => service === name))
		);
	};

	const rejectsOverload = (name: string): boolean =>
		routes.get()?.services.find((each) => each.name === name)
			?.rejectsOverload ?? false;

	const hasOwner = (serviceName: string): boolean =>
		listShards().includes(getServiceShard(serviceName));

	const listShards = (): readonly string[] => {
		const configuration = routes.get();
		if (!configuration) {
			return [];
		}

		// Includes services without a queue, which may have jobs of a moved queue.
		const services = new Set([
			...configuration.routes.map((each) => each.service),
			...configuration.services
				.filter(({isStandby}) => !isStandby)
				.map(({name}) => name),
		]);
		return [fleetShard, ...[...services].map((each) => getServiceShard(each))];
	};

	const peerCalls: Pick<PeerChannel, 'call'> = {
		call: async (address, method, params, timeoutMs) =>
			peers
				? peers.call(address, method, params, timeoutMs)
				: {ok: false, error: {kind: 'unreachable', message: 'not started'}},
	};

	const owners = createOwnerChannel({
		book: leases,
		peers: peerCalls,
		getLocal: (shard) => owned.get(shard),
	});

	const notifyOwner = async (shard: string, rows: readonly StoredRow[]) => {
		const isNotified = await owners.sendRows(shard, rows);
		if (!isNotified) {
			logger.info('owner not notified', {
				shard,
				jobs: rows.map(({key}) => key),
			});
		}
	};

	const history = createQueueHistory({store, now, logger});

	const gates = createQueueGates({
		store,
		listRecorded: history.listRecorded,
		now,
		logger,
	});
	const storing = {
		store,
		isStoreUnresponsive: watched.isUnresponsive,
		now,
		logger,
		onStored(shard: string, rows: readonly StoredRow[]) {
			void notifyOwner(shard, rows);
		},
	};
	const submissions = createSubmissions({
		...storing,
		gatekeeper: createGatekeeper({gates, store, now}),
		book: leases,
	});
	const tombstones = createTombstones({...storing, gates});

	const peerEntries = createPeerEntries({
		self,
		members,
		listHolders: leases.listHolders,
		peers: peerCalls,
		logger,
	});

	/** Whether the latest configuration in the store could be read. */
	let isConfigurationReadable = true;

	const confirmation = createConfigurationConfirmation({
		getVersion: () => routes.get()?.version,
		getStoreConfirmedAt: () => operatorFollower.getConfirmedAt(),
		isReadable: () => isConfigurationReadable,
		askPeer: peerEntries.confirmConfiguration,
		clock,
	});

	const access = createCallerAccess({
		routes,
		getConfirmedAt: confirmation.getConfirmedAt,
		clock,
		policy: settings.keys,
	});

	const service = createJobService({
		routes,
		history,
		submissions,
		tombstones,
		owners,
		access,
		store,
		clock,
		logger,
		metrics,
		guard: settings.scheduler.rejectsUnservableJobs
			? createSubmissionGuard({owners, now, logger, metrics})
			: undefined,
		submitThroughPeer: peerEntries.submit,
		cancelThroughPeer: peerEntries.cancel,
	});

	const hasReleased = async ({
		shard,
		holder,
		address,
		token,
	}: LeaseRow): Promise<boolean> => {
		const isReplaced =
			holder !== null &&
			(members.getIncarnation(holder.entry) ?? holder.incarnation) !==
				holder.incarnation;
		if (isReplaced || holder === null) {
			return true;
		}

		const answer = await peerCalls.call(
			address,
			'depose',
			{shard, token: token + 1},
			periods.peerTimeoutMs,
		);
		// An answer means that the holder was replaced or has released the shard.
		return answer.ok;
	};

	const owned = createOwnedServices({
		store,
		executors: platform.executors,
		executorFeed: platform.executorFeed,
		advice: platform.advice,
		random: deps.random,
		clock,
		getStoreTime: () => heartbeat.getStoreTime(),
		cfg: settings.scheduler,
		logger,
		metrics,
		rowFaults,
		hasService,
		rejectsOverload,
		teamCaps: {
			hasTeams: () => routes.get()?.teams !== undefined,
			getCap: (team) => routes.getTeam(team)?.cap,
			getWeight: (team) => routes.getTeam(team)?.weight,
		},
		commits: {
			mayBeStoring: submissions.mayBeStoring,
			getUnansweredAt: watched.getUnansweredCommitAt,
		},
		getLeasesConfirmedAt: () => leaseFollower.getConfirmedAt(),
		hasReleased,
		listTokens: leases.listTokens,
		onOwnershipLost(shard, rows) {
			for (const row of rows) {
				leases.applyRow(row);
			}

			leaseManager.handleFenced(shard);
		},
		onFailed(shard, loop) {
			leaseManager.giveUp(shard, `loop ${loop} failed`);
		},
		reportFailure(err) {
			reportFailure(err);
		},
	});

	const startFleetRunner = (held: HeldShard) => {
		fleetRunner = createFleetRunner({
			held,
			holder: settings.name,
			store,
			machines: reportUnreadableMachines(platform.machines, rowFaults),
			status: platform.waveStatus,
			owners,
			clock,
			getStoreTime: () => heartbeat.getStoreTime(),
			logger,
			metrics,
			pools: settings.pools,
			turnoverMs: settings.machineTurnoverMs,
			maxUnconfirmedMs: settings.scheduler.ownershipTimeoutMs,
			getLeasesConfirmedAt: leaseFollower.getConfirmedAt,
			listWaves: () => [...waves.values()],
			hasOwner,
			listServices: () =>
				listShards().flatMap((shard) => parseServiceShard(shard) ?? []),
			getStandbyPool: () =>
				routes.get()?.services.find(({isStandby}) => isStandby)?.name,
			onLost(reason) {
				logger.warn('fleet shard lost', {reason});
				leaseManager.handleFenced(fleetShard);
			},
			reportFailure(err) {
				metrics.count('owner_failures', 'fleet');
				logger.error('fleet runner failed', {
					error: err.message,
					stack: err.stack,
				});
				leaseManager.giveUp(fleetShard, 'the fleet runner failed');
			},
		});
		fleetRunner.start();
	};

	const onAcquired = (held: HeldShard) => {
		if (held.shard === fleetShard) {
			startFleetRunner(held);
			return;
		}

		const serviceName = parseServiceShard(held.shard);
		if (serviceName !== undefined && hasService(serviceName)) {
			owned.start(held, serviceName);
		}
	};

	const onLost = (shard: string) => {
		if (shard === fleetShard) {
			fleetRunner?.stop();
			fleetRunner = undefined;
			return;
		}

		owned.drop(shard);
	};

	const leaseManager = createShardLeaseManager({
		store,
		self,
		capacity: settings.capacity,
		getAddress,
		members,
		leases,
		listShards,
		mayClaim() {
			const membersReadAt = memberFollower.getConfirmedAt()?.at;
			return (
				membersReadAt !== undefined && now() - membersReadAt < periods.leaseMs
			);
		},
		ensureHeartbeat: async () => heartbeat.ensureRecent(),
		isCandidate: () => role.isCandidate(),
		getStoreTime: () => heartbeat.getStoreTime(),
		ownershipTimeoutMs: settings.scheduler.ownershipTimeoutMs,
		clock,
		random: deps.random,
		logger,
		onAcquired,
		beforeRelease: owned.release,
		onLost,
		onReleased: peerEntries.notifyReleased,
	});

	const role = createEntryRole({
		self: {entry: self.entry, capacity: settings.capacity},
		members,
		leases,
		isHolding: () => leaseManager.isHolding(),
		now,
		logger,
	});

	const heartbeat = createHeartbeat({
		store,
		name: self.entry,
		incarnation: self.incarnation,
		getAddress,
		capacity: settings.capacity,
		logger,
		clock,
		random: deps.random,
		isNeeded: role.step,
	});

	const confirmationTicker = createTicker(
		async () => confirmation.refresh(periods.confirmByPeerAfterMs),
		periods.confirmIntervalMs,
		deps.random,
	);

	const applyOperatorBatch = ({entries}: FeedBatch<OperatorEntry>) => {
		for (const {key, value} of entries) {
			if (value?.kind !== 'unreadable') {
				rowFaults.clear(operatorName, key);
			}

			if (value) {
				applyOperatorEntry(key, value);
			}
		}
	};

	const applyOperatorEntry = (key: string, entry: OperatorEntry) => {
		match(entry)
			.with({kind: 'configuration'}, ({value}) => {
				isConfigurationReadable = true;
				const isNew = routes.apply(value);
				if (isNew) {
					history.addConfiguration(value);
					registerTeamGauges(value.teams ?? [], owned, metrics);
				}

				logger.info('configuration read', {
					version: value.version,
					routes: value.routes.length,
					isNew,
				});
			})
			.with({kind: 'wave'}, ({value}) => {
				waves.set(value.id, value);
			})
			.with({kind: 'unreadable'}, ({problem, isConfiguration}) => {
				isConfigurationReadable &&= !isConfiguration;
				rowFaults.report({table: operatorName, key, problem});
			})
			.exhaustive();
	};

	const operatorFollower = createFeedFollower({
		name: operatorName,
		feed: platform.operator,
		periods: followPeriods.operator,
		clock,
		logger,
		onSnapshot: applyOperatorBatch,
		onChanges: applyOperatorBatch,
	});

	const leaseFollower = createFeedFollower({
		name: 'lease',
		feed: createTableFeed(store, tables.lease, {kind: 'all'}),
		periods: followPeriods.lease,
		getOverrides: role.getLeasePeriods,
		clock,
		logger,
		onSnapshot: leases.apply,
		onChanges: leases.apply,
	});

	const memberFollower = createFeedFollower({
		name: 'daemon',
		feed: createChangesOnlyFeed(store, tables.daemon),
		periods: followPeriods.daemon,
		getOverrides: role.getHeartbeatPeriods,
		clock,
		logger,
		onSnapshot: members.applySnapshot,
		onChanges: members.applyChanges,
		// Heartbeats age even if no daemon sends one any more.
		onUnchanged: members.applyChanges,
	});

	// Shows a stalled follower, also long after its log line.
	for (const [name, follower] of [
		[operatorName, operatorFollower],
		['lease', leaseFollower],
		['daemon', memberFollower],
	] as const) {
		metrics.registerGauge('feed_age_ms', name, () => {
			const confirmed = follower.getConfirmedAt();
			return confirmed && Math.round(now() - confirmed.at);
		});
	}

	metrics.registerGauge('longest_free_shard_ms', '', () =>
		Math.round(Math.max(0, ...leaseManager.listFreeMs().values())),
	);

	metrics.registerGauge(
		'configuration',
		'version',
		() => routes.get()?.version,
	);

	const startPeerChannel = async (): Promise<boolean> => {
		const keyHex = await obtainPeerKey(store, logger, () => state.isStopping);
		if (keyHex === undefined) {
			return false;
		}

		const channel = createPeerChannel({
			settings: {...settings.peers, keyHex},
			self,
			now,
			wallNow: clock.epochNow,
			logger,
		});
		registerPeerHandlers(channel, {
			incarnation: self.incarnation,
			owned,
			submissions,
			service,
			routes,
			confirmation,
			leaseManager,
			members,
			readLeases: leaseFollower.skipPause,
			now,
		});
		await channel.start(reportFailure);
		peers = channel;
		return true;
	};

	const loadHistory = async (): Promise<boolean> => {
		while (!state.isStopping) {
			if (await history.load()) {
				return true;
			}

			await delay(periods.flushRetryMs);
		}

		return false;
	};

	const start = async (report: ReportFailure) => {
		reportFailure = report;
		operatorFollower.start(report);
		leaseFollower.start(report);
		memberFollower.start(report);
		if (
			!(await startPeerChannel()) ||
			!(await loadHistory()) ||
			state.isStopping
		) {
			return;
		}

		state.isStarted = true;
		await heartbeat.writeNow();
		await heartbeat.start(report);
		await confirmationTicker.start(report);
		await leaseManager.start(report);
		logger.info('daemon started', {
			incarnation: self.incarnation,
			address: getAddress(),
		});
	};

	const handOverShards = async () => {
		if (!state.isStopping) {
			state.isStopping = true;
			peerEntries.notifyLeaving();
		}

		await leaseManager.stop();
	};

	const stop = async () => {
		await handOverShards();
		owned.dropAll();
		for (const follower of [operatorFollower, leaseFollower, memberFollower]) {
			follower.stop();
		}

		await confirmationTicker.stop();
		await heartbeat.stop();
		await peers?.stop(now());
	};

	const isReady = (): boolean =>
		!state.isStopping &&
		state.isStarted &&
		routes.get() !== undefined &&
		access.canJudge() &&
		!leaseFollower.isLost() &&
		!memberFollower.isLost();

	return {
		start,
		handOverShards,
		stop,
		isReady,
		service,
		access,
		listJobs: owned.listJobs,
		listTeams: () => listTeams(routes.get(), owned),
		explain: owned.explain,
		routes,
		metrics,
	};
};

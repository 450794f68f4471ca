/**
 * One daemon of the fleet, without its listeners: follows the configuration,
 * claims shards, runs the services that it owns, answers callers and peers.
 */
import {randomUUID} from 'node:crypto';
import type {fleet, scheduler, shardAssignment} from '@gullstand/core';
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
import {delay, type Clock} from './clock.js';
import {createJobService, type JobService} from './entry/job-service.js';
import {createPeerEntries} from './entry/peer-entries.js';
import {createOwnerChannel} from './entry/owner-channel.js';
import {createQueueHistory} from './entry/queue-history.js';
import {createRoutes, type Routes} from './entry/routes.js';
import {createSubmissions} from './entry/submissions.js';
import {createFleetRunner, type FleetRunner} from './fleet/fleet-runner.js';
import type {WaveStatusPort} from './fleet/machine-wave-runner.js';
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
import {createShardKeeper} from './shards/shard-keeper.js';
import {createEntryRole} from './shards/entry-role.js';

/** The platform as the jobs side sees it. */
export type JobPlatform = {
	readonly store: RowStore;
	readonly operator: OperatorFeed;
	readonly executorFeed: ExecutorFeed;
	readonly executors: Executors;
	readonly machines: Machines;
	readonly advice?: AdviceService;
	readonly waveStatus: WaveStatusPort;
};

/** Settings of the jobs side. */
export type JobDaemonSettings = {
	readonly name: string;
	readonly peers: {readonly address: string; readonly port: number};
	/** What this machine has; shards go to the most capable daemons. */
	readonly capacity?: shardAssignment.EntryCapacity;
	readonly scheduler: scheduler.SchedulerConfig;
	readonly pools: fleet.PoolConfig;
	/** Time between orders of two holders for one machine, milliseconds. */
	readonly machineTurnoverMs: number;
};

/** What the daemon is built of. */
export type JobDaemonDeps = {
	readonly settings: JobDaemonSettings;
	readonly platform: JobPlatform;
	readonly clock: Clock;
	readonly random: () => number;
	readonly logger: Logger;
};

/** The daemon. */
export type JobDaemon = {
	/** Resolves once it can answer callers. */
	readonly start: (reportFailure: ReportFailure) => Promise<void>;
	/** Gives its shards back and is not ready any more; callers are answered. */
	readonly handOverShards: () => Promise<void>;
	/** Lets go of everything. */
	readonly stop: () => Promise<void>;
	/** Whether callers should be sent here. */
	readonly isReady: () => boolean;
	readonly service: JobService;
	/** Jobs of the services that this daemon owns. */
	readonly listJobs: OwnedServices['listJobs'];
	/** Why tasks of a job do not run; absent unless this daemon owns it. */
	readonly explain: OwnedServices['explain'];
	readonly routes: Routes;
	readonly metrics: JobMetrics;
};

/** Name of what operators write, in lines and counters. */
const operatorName = 'operator';

/** Creates a daemon. */
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
	const state = {isLeaving: false, isStarted: false};
	let reportFailure: ReportFailure = () => undefined;

	const getAddress = (): string => peers?.getAddress() ?? '';

	const members = createMembers({
		now,
		observationGapMs: periods.observationGapMs,
		logger,
		rowFaults,
	});
	const book = createLeaseCache({
		logger,
		rowFaults,
		onChange(shard, lease) {
			keeper.applyLease(shard, lease);
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

	const hasOwner = (serviceName: string): boolean =>
		listShards().includes(getServiceShard(serviceName));

	const listShards = (): readonly string[] => {
		const configuration = routes.get();
		if (!configuration) {
			return [];
		}

		// Services without a queue too: jobs stay with theirs when a queue moves.
		const services = new Set([
			...configuration.routes.map((each) => each.service),
			...configuration.services
				.filter(({isStandby}) => !isStandby)
				.map(({name}) => name),
		]);
		return [fleetShard, ...[...services].map((each) => getServiceShard(each))];
	};

	const callPeers: Pick<PeerChannel, 'call'> = {
		call: async (address, method, params, timeoutMs) =>
			peers
				? peers.call(address, method, params, timeoutMs)
				: {ok: false, error: {kind: 'unreachable', message: 'not started'}},
	};

	const owners = createOwnerChannel({
		book,
		peers: callPeers,
		getLocal: (shard) => owned.get(shard),
	});

	const tellOwner = async (shard: string, rows: readonly StoredRow[]) => {
		const isTold = await owners.sendRows(shard, rows);
		if (!isTold) {
			logger.info('owner not told', {shard, jobs: rows.map(({key}) => key)});
		}
	};

	const submissions = createSubmissions({
		store,
		isStoreUnresponsive: watched.isUnresponsive,
		book,
		now,
		logger,
		onStored(shard, rows) {
			void tellOwner(shard, rows);
		},
	});

	const others = createPeerEntries({
		self,
		members,
		listHolders: book.listHolders,
		peers: callPeers,
		logger,
	});

	const history = createQueueHistory({store, logger});

	const service = createJobService({
		routes,
		history,
		submissions,
		owners,
		store,
		clock,
		logger,
		metrics,
		submitThroughPeer: others.submit,
		cancelThroughPeer: others.cancel,
	});

	const hasLetGo = async ({
		shard,
		holder,
		address,
		token,
	}: LeaseRow): Promise<boolean> => {
		const isReplaced =
			holder !== null &&
			(members.get(holder.entry)?.incarnation ?? holder.incarnation) !==
				holder.incarnation;
		if (isReplaced || holder === null) {
			return true;
		}

		const answer = await callPeers.call(
			address,
			'depose',
			{shard, token: token + 1},
			periods.peerTimeoutMs,
		);
		// Whoever answers there is not that life, or has let go.
		return answer.ok;
	};

	const owned = createOwnedServices({
		store,
		executors: platform.executors,
		executorFeed: platform.executorFeed,
		advice: platform.advice,
		clock,
		cfg: settings.scheduler,
		logger,
		metrics,
		rowFaults,
		hasService,
		getLeasesConfirmedAt: () => leaseFollower.getConfirmedAt(),
		hasReleased: hasLetGo,
		onOwnershipLost(shard, rows) {
			for (const row of rows) {
				book.applyRow(row);
			}

			keeper.handleFenced(shard);
		},
		reportFailure(err) {
			reportFailure(err);
		},
	});

	const runFleet = (held: HeldShard) => {
		fleetRunner = createFleetRunner({
			held,
			holder: settings.name,
			store,
			machines: platform.machines,
			status: platform.waveStatus,
			owners,
			clock,
			logger,
			pools: settings.pools,
			turnoverMs: settings.machineTurnoverMs,
			maxUnconfirmedMs: settings.scheduler.ownershipTimeoutMs,
			getLeasesConfirmedAt: leaseFollower.getConfirmedAt,
			listWaves: () => [...waves.values()],
			hasOwner,
			getStandbyPool: () =>
				routes.get()?.services.find(({isStandby}) => isStandby)?.name,
			onLost(reason) {
				logger.warn('fleet lost', {reason});
				keeper.handleFenced(fleetShard);
			},
			reportFailure,
		});
		fleetRunner.start();
	};

	const onAcquired = (held: HeldShard) => {
		if (held.shard === fleetShard) {
			runFleet(held);
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

	const keeper = createShardKeeper({
		store,
		self,
		capacity: settings.capacity,
		getAddress,
		members,
		leases: book,
		listShards,
		mayClaim() {
			const readAt = memberFollower.getConfirmedAt()?.at;
			return readAt !== undefined && now() - readAt < periods.leaseMs;
		},
		ensureHeartbeat: async () => heartbeat.ensureRecent(),
		isCandidate: () => role.isCandidate(),
		now,
		random: deps.random,
		logger,
		onAcquired,
		beforeRelease: owned.release,
		onLost,
		onReleased: others.notifyReleased,
	});

	const role = createEntryRole({
		self: {entry: self.entry, capacity: settings.capacity},
		members,
		leases: book,
		isHolding: () => keeper.isHolding(),
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
		now,
		random: deps.random,
		isNeeded: role.step,
	});

	const applyOperator = ({entries}: FeedBatch<OperatorEntry>) => {
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
				const isNew = routes.apply(value);
				if (isNew) {
					history.addConfiguration(value);
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
			.with({kind: 'unreadable'}, ({problem}) => {
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
		onSnapshot: applyOperator,
		onChanges: applyOperator,
	});

	const leaseFollower = createFeedFollower({
		name: 'lease',
		feed: createTableFeed(store, tables.lease, {kind: 'all'}),
		periods: followPeriods.lease,
		getOverrides: role.getLeasePeriods,
		clock,
		logger,
		onSnapshot: book.apply,
		onChanges: book.apply,
	});

	const memberFollower = createFeedFollower({
		name: 'daemon',
		feed: createChangesOnlyFeed(store, tables.daemon),
		periods: followPeriods.daemon,
		getOverrides: role.getHeartbeatPeriods,
		clock,
		logger,
		onSnapshot: members.applyChanges,
		onChanges: members.applyChanges,
		// Where all that send heartbeats are gone, nothing changes any more.
		onUnchanged: members.applyChanges,
	});

	// A follower that does not get on shows here long after its line was written.
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

	metrics.registerGauge(
		'configuration',
		'version',
		() => routes.get()?.version,
	);

	const startPeers = async (): Promise<boolean> => {
		const keyHex = await obtainPeerKey(store, logger, () => state.isLeaving);
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
			keeper,
			members,
			readLeases: leaseFollower.skipPause,
			now,
		});
		await channel.start(reportFailure);
		peers = channel;
		return true;
	};

	const loadHistory = async (): Promise<boolean> => {
		while (!state.isLeaving) {
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
		if (!(await startPeers()) || !(await loadHistory()) || state.isLeaving) {
			return;
		}

		state.isStarted = true;
		await heartbeat.writeNow();
		await heartbeat.start(report);
		await keeper.start(report);
		logger.info('daemon started', {
			incarnation: self.incarnation,
			address: getAddress(),
		});
	};

	const handOver = async () => {
		if (!state.isLeaving) {
			state.isLeaving = true;
			others.notifyLeaving();
		}

		await keeper.stop();
	};

	const stop = async () => {
		await handOver();
		owned.dropAll();
		for (const follower of [operatorFollower, leaseFollower, memberFollower]) {
			follower.stop();
		}

		await heartbeat.stop();
		await peers?.stop(now());
	};

	const isReady = (): boolean =>
		!state.isLeaving &&
		state.isStarted &&
		routes.get() !== undefined &&
		!leaseFollower.isLost() &&
		!memberFollower.isLost();

	return {
		start,
		handOverShards: handOver,
		stop,
		isReady,
		service,
		listJobs: owned.listJobs,
		explain: owned.explain,
		routes,
		metrics,
	};
};

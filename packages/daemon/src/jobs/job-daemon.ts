/**
 * One daemon of the fleet, without its listeners: follows the configuration,
 * claims shards, runs the services that it owns, answers callers and peers.
 */
import {randomUUID} from 'node:crypto';
import {scheduler, type fleet} from '@gullstand/core';
import type {
	AdviceService,
	ExecutorFeed,
	Executors,
	FeedBatch,
	Machines,
	OperatorEntry,
	OperatorFeed,
	QueueRoute,
	RowStore,
	StoredRow,
	WaveRequest,
} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../log/logger.js';
import {createPeerChannel, type PeerChannel} from '../peers/peer-channel.js';
import type {ReportFailure} from '../supervisor/supervisor.js';
import {runInBackground} from './background.js';
import {delay, type Clock} from './clock.js';
import {
	createJobService,
	type CancelOutcome,
	type JobService,
} from './entry/job-service.js';
import {createOwnerChannel} from './entry/owner-channel.js';
import {createQueueHistory} from './entry/queue-history.js';
import {createRoutes, type Routes} from './entry/routes.js';
import {createSubmissions, type SubmitOutcome} from './entry/submissions.js';
import {createExecutorList} from './executor-list.js';
import {createFleetRunner, type FleetRunner} from './fleet/fleet-runner.js';
import type {WaveStatusPort} from './fleet/wave-round.js';
import {createJobMetrics, type JobMetrics} from './job-metrics.js';
import {createOwnerRunner, type OwnerRunner} from './owner/owner-runner.js';
import {obtainPeerKey} from './peer-key.js';
import {jobPeerSchemas} from './peer-methods.js';
import {followPeriods, periods} from './periods.js';
import {createFeedFollower, type FeedFollower} from './rows/feed-follower.js';
import {watchStore} from './rows/store-health.js';
import {createTableFeed} from './rows/table-feed.js';
import {
	fleetShard,
	getServiceShard,
	tables,
	type LeaseRow,
} from './rows/tables.js';
import {createHeartbeat} from './shards/heartbeat.js';
import {createLeaseBook} from './shards/lease-book.js';
import {createMembers} from './shards/members.js';
import {createShardKeeper, type HeldShard} from './shards/shard-keeper.js';

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
	readonly handOver: () => Promise<void>;
	/** Lets go of everything. */
	readonly stop: () => Promise<void>;
	/** Whether callers should be sent here. */
	readonly isReady: () => boolean;
	readonly service: JobService;
	/** Jobs of the services that this daemon owns. */
	readonly listJobs: () => readonly JobSummary[];
	/** Why tasks of a job do not run; absent unless this daemon owns it. */
	readonly explain: (
		route: QueueRoute,
		id: string,
	) => readonly scheduler.TaskExplanation[] | undefined;
	readonly routes: Routes;
	readonly metrics: JobMetrics;
};

/** A job as the list shows it. */
export type JobSummary = {
	readonly job: string;
	readonly queue: string;
	readonly state: scheduler.JobState;
	readonly acceptedAtEpochMs: number;
};

/** Peers asked to store a job while the store is away from here. */
const maxHelpers = 2;

/** Creates a daemon. */
export const createJobDaemon = (deps: JobDaemonDeps): JobDaemon => {
	const {settings, platform, clock, logger} = deps;
	const {now} = clock;
	const watched = watchStore(platform.store, now);
	const {store} = watched;
	const self = {entry: settings.name, incarnation: randomUUID()};
	const routes = createRoutes();
	const metrics = createJobMetrics();
	const runners = new Map<string, OwnerRunner>();
	const waves = new Map<string, WaveRequest>();
	const executorList = createExecutorList();
	let peers: PeerChannel | undefined;
	let fleetRunner: FleetRunner | undefined;
	let executorFollower: FeedFollower | undefined;
	const state = {isLeaving: false, isStarted: false};
	let reportFailure: ReportFailure = () => undefined;

	const getAddress = (): string => peers?.getAddress() ?? '';

	const members = createMembers({
		now,
		observationGapMs: periods.observationGapMs,
		logger,
	});
	const book = createLeaseBook({
		logger,
		onChange(shard, lease) {
			keeper.noteLease(shard, lease);
		},
	});

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
		getLocal: (shard) => runners.get(shard),
	});

	const tellOwner = async (shard: string, rows: readonly StoredRow[]) => {
		const isTold = await owners.tellRows(shard, rows);
		if (!isTold) {
			logger.info('owner not told', {shard, jobs: rows.map(({key}) => key)});
		}
	};

	const submissions = createSubmissions({
		store,
		isStoreSuspect: watched.isSuspect,
		book,
		now,
		logger,
		onStored(shard, rows) {
			void tellOwner(shard, rows);
		},
	});

	/**
	 * Other daemons, those heard of last in front: without the store, all
	 * heartbeats are old here and say little.
	 */
	const listHelpers = (): readonly string[] =>
		members
			.listAll()
			.filter((name) => name !== self.entry)
			.slice(0, maxHelpers);

	const cancelElsewhere = async (
		queue: string,
		id: string,
		timeoutMs: number,
	): Promise<CancelOutcome | undefined> => {
		for (const name of listHelpers()) {
			const answer = await callPeers.call(
				members.get(name)?.address ?? '',
				'cancelJob',
				{queue, id, timeoutMs},
				timeoutMs,
			);
			logger.info('job cancelled elsewhere', {
				job: id,
				through: name,
				outcome: answer.ok ? answer.value.outcome : answer.error.kind,
			});
			if (answer.ok && answer.value.outcome !== 'store-unavailable') {
				return answer.value.outcome;
			}
		}

		return undefined;
	};

	const cancelForPeer = async (
		queue: string,
		id: string,
		timeoutMs: number,
	): Promise<CancelOutcome> => {
		const route = routes.getByName(queue);
		if (!route) {
			return 'store-unavailable';
		}

		const result = await service.cancelHere(route, id, now() + timeoutMs);
		if (result.ok) {
			return 'cancelled';
		}

		const {error} = result;
		return error === 'unknown-job' || error === 'store-unknown'
			? error
			: 'store-unavailable';
	};

	const submitElsewhere = async (
		job: scheduler.AcceptedJob,
		shard: string,
		timeoutMs: number,
	): Promise<SubmitOutcome | undefined> => {
		for (const name of listHelpers()) {
			const address = members.get(name)?.address ?? '';
			const answer = await callPeers.call(
				address,
				'submitJob',
				{shard, job, timeoutMs},
				timeoutMs,
			);
			logger.info('job handed in elsewhere', {
				job: job.id,
				through: name,
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
	};

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
		submitElsewhere,
		cancelElsewhere,
	});

	const onOwnerLost = (shard: string, rows: readonly StoredRow[]) => {
		for (const row of rows) {
			book.note(row);
		}

		keeper.noteDeposed(shard);
	};

	const followExecutors = () => {
		const note = (isWhole: boolean) => {
			for (const runner of runners.values()) {
				runner.noteExecutors(isWhole);
			}
		};

		executorFollower ??= createFeedFollower({
			name: 'executors',
			feed: platform.executorFeed,
			periods: followPeriods.executors,
			clock,
			logger,
			onWhole(batch) {
				executorList.applyWhole(batch);
				note(true);
			},
			onChanges(batch) {
				executorList.applyChanges(batch);
				note(false);
			},
		});
		executorFollower.start(reportFailure);
	};

	const unfollowExecutors = () => {
		if (runners.size === 0) {
			executorFollower?.stop();
			executorFollower = undefined;
		}
	};

	const hasLetGo = async ({
		shard,
		holder,
		address,
		token,
	}: LeaseRow): Promise<boolean> => {
		const isReplaced =
			members.isRead() &&
			holder !== null &&
			members.get(holder.entry)?.incarnation !== holder.incarnation;
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

	const runService = (held: HeldShard, serviceName: string) => {
		const runner = createOwnerRunner({
			held,
			service: serviceName,
			store,
			executors: platform.executors,
			advice: platform.advice,
			clock,
			cfg: settings.scheduler,
			logger,
			metrics,
			getConfirmed: leaseFollower.getConfirmed,
			listExecutors: executorList.list,
			onLost(reason, rows) {
				logger.warn('service lost', {shard: held.shard, reason});
				onOwnerLost(held.shard, rows);
			},
			hasLetGo,
			reportFailure,
		});
		runners.set(held.shard, runner);
		if (!executorFollower) {
			followExecutors();
		}

		runInBackground(runner.start, reportFailure);
	};

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
			beliefMs: settings.scheduler.ownerBeliefMs,
			getConfirmed: leaseFollower.getConfirmed,
			listWaves: () => [...waves.values()],
			hasOwner,
			getStandbyPool: () =>
				routes.get()?.services.find(({isStandby}) => isStandby)?.name,
			onLost(reason) {
				logger.warn('fleet lost', {reason});
				keeper.noteDeposed(fleetShard);
			},
			reportFailure,
		});
		fleetRunner.start();
	};

	const findService = (shard: string): string | undefined =>
		[
			...(routes.get()?.services.map(({name}) => name) ?? []),
			...(routes.get()?.routes.map((route) => route.service) ?? []),
		].find((each) => getServiceShard(each) === shard);

	const onAcquired = (held: HeldShard) => {
		if (held.shard === fleetShard) {
			runFleet(held);
			return;
		}

		const serviceName = findService(held.shard);
		if (serviceName !== undefined) {
			runService(held, serviceName);
		}
	};

	const onLost = (shard: string) => {
		if (shard === fleetShard) {
			fleetRunner?.stop();
			fleetRunner = undefined;
			return;
		}

		runners.get(shard)?.abandon();
		runners.delete(shard);
		unfollowExecutors();
	};

	const tellReleased = (shard: string) => {
		for (const name of members.listLive(periods.leaseMs)) {
			const address = members.get(name)?.address ?? '';
			if (name !== self.entry && address !== '') {
				void callPeers.call(
					address,
					'shardReleased',
					{shard},
					periods.peerTimeoutMs,
				);
			}
		}
	};

	const keeper = createShardKeeper({
		store,
		self,
		getAddress,
		members,
		book,
		listShards,
		now,
		random: deps.random,
		logger,
		onAcquired,
		async beforeRelease(shard) {
			await runners.get(shard)?.stop();
		},
		onLost,
		onReleased: tellReleased,
	});

	const heartbeat = createHeartbeat({
		store,
		name: self.entry,
		incarnation: self.incarnation,
		getAddress,
		logger,
		now,
		random: deps.random,
	});

	const applyOperator = ({entries}: FeedBatch<OperatorEntry>) => {
		for (const {key, value} of entries) {
			if (value) {
				applyOperatorEntry(key, value);
			}
		}
	};

	const applyOperatorEntry = (key: string, entry: OperatorEntry) => {
		match(entry)
			.with({kind: 'configuration'}, ({value}) => {
				const before = routes.get();
				const isNew = routes.apply(value);
				if (isNew) {
					void history.note(before, value);
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
				logger.warn('row skipped', {table: 'operator', key, problem});
			})
			.exhaustive();
	};

	const operatorFollower = createFeedFollower({
		name: 'operator',
		feed: platform.operator,
		periods: followPeriods.operator,
		clock,
		logger,
		onWhole: applyOperator,
		onChanges: applyOperator,
	});

	const leaseFollower = createFeedFollower({
		name: 'lease',
		feed: createTableFeed(store, tables.lease, {kind: 'all'}),
		periods: followPeriods.lease,
		clock,
		logger,
		onWhole: book.apply,
		onChanges: book.apply,
	});

	const memberFollower = createFeedFollower({
		name: 'daemon',
		feed: createTableFeed(store, tables.daemon, {kind: 'all'}),
		periods: followPeriods.daemon,
		clock,
		logger,
		onWhole: members.applyWhole,
		onChanges: members.applyChanges,
	});

	const addPeerMethods = (channel: PeerChannel) => {
		channel.addMethod('noteRows', jobPeerSchemas.noteRows, ({shard, rows}) => {
			const runner = runners.get(shard);
			runner?.noteRows(rows);
			return {isOwner: runner !== undefined};
		});
		channel.addMethod(
			'readJob',
			jobPeerSchemas.readJob,
			({shard, queue, id}) =>
				runners.get(shard)?.readJob(id, queue) ?? {kind: 'not-owner'},
		);
		channel.addMethod(
			'countPending',
			jobPeerSchemas.countPending,
			({shard, queue}) => ({
				pending: runners.get(shard)?.countPending(queue),
			}),
		);
		channel.addMethod(
			'submitJob',
			jobPeerSchemas.submitJob,
			async ({shard, job, timeoutMs}) =>
				submissions.submit(shard, job, now() + timeoutMs),
		);
		channel.addMethod(
			'cancelJob',
			jobPeerSchemas.cancelJob,
			async ({queue, id, timeoutMs}) => ({
				outcome: await cancelForPeer(queue, id, timeoutMs),
			}),
		);
		channel.addMethod(
			'evacuate',
			jobPeerSchemas.evacuate,
			({shard, executorId, patienceMs}) => ({
				state: runners.get(shard)?.evacuate(executorId, patienceMs),
			}),
		);
		channel.addMethod('readLoad', jobPeerSchemas.readLoad, ({shard}) => ({
			load: runners.get(shard)?.getLoad(),
		}));
		channel.addMethod(
			'noteGone',
			jobPeerSchemas.noteGone,
			({shard, executorId}) => {
				runners.get(shard)?.noteGone(executorId);
				return {};
			},
		);
		channel.addMethod('depose', jobPeerSchemas.depose, ({shard, token}) => {
			const mine = keeper.listHeld().find((each) => each.shard === shard);
			if (mine && mine.token < token) {
				keeper.noteDeposed(shard);
			}

			return {incarnation: self.incarnation};
		});
		channel.addMethod('shardReleased', jobPeerSchemas.shardReleased, () => {
			leaseFollower.hasten();
			keeper.hasten();
			return {};
		});
	};

	const startPeers = async (): Promise<boolean> => {
		const keyHex = await obtainPeerKey(store, logger, () => state.isLeaving);
		if (keyHex === undefined) {
			return false;
		}

		const channel = createPeerChannel({
			settings: {...settings.peers, keyHex},
			life: self,
			now,
			wallNow: clock.epochNow,
			logger,
		});
		addPeerMethods(channel);
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
		await heartbeat.beatOnce();
		await heartbeat.start(report);
		await keeper.start(report);
		logger.info('daemon started', {
			incarnation: self.incarnation,
			address: getAddress(),
		});
	};

	const handOver = async () => {
		state.isLeaving = true;
		await keeper.stop();
	};

	const stop = async () => {
		await handOver();
		for (const runner of runners.values()) {
			runner.abandon();
		}

		for (const follower of [operatorFollower, leaseFollower, memberFollower]) {
			follower.stop();
		}

		executorFollower?.stop();
		await heartbeat.stop();
		await peers?.stop(now());
	};

	const isReady = (): boolean =>
		!state.isLeaving &&
		state.isStarted &&
		routes.get() !== undefined &&
		!leaseFollower.isLost();

	const listJobs = (): readonly JobSummary[] =>
		[...runners.values()].flatMap((runner) =>
			[...(runner.getOwner()?.jobs.values() ?? [])].map((job) => ({
				job: job.accepted.id,
				queue: job.accepted.policy.queue,
				state: scheduler.getJobState(job),
				acceptedAtEpochMs: job.accepted.acceptedAtEpochMs,
			})),
		);

	const explain = (route: QueueRoute, id: string) => {
		const runner = runners.get(getServiceShard(route.service));
		const owner = runner?.getOwner();
		const job = owner?.jobs.get(id);
		return owner && job?.accepted.policy.queue === route.name
			? scheduler.explainJob(owner, job, now())
			: undefined;
	};

	return {
		start,
		handOver,
		stop,
		isReady,
		service,
		listJobs,
		explain,
		routes,
		metrics,
	};
};

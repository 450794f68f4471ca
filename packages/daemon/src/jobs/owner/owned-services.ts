/** The services that this daemon owns, and the executors listed for them. */
import {scheduler} from '@gullstand/core';
import type {
	AdviceService,
	ChangedRow,
	ExecutorFeed,
	Executors,
	FeedBatch,
	QueueRoute,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import type {Clock, Moment} from '../clock.js';
import {createExecutorList} from '../executor-list.js';
import type {JobMetrics} from '../job-metrics.js';
import {followPeriods} from '../periods.js';
import {createFeedFollower, type FeedFollower} from '../rows/feed-follower.js';
import type {RowFaults} from '../rows/row-faults.js';
import {createChangesOnlyFeed} from '../rows/table-feed.js';
import {getServiceShard, tables, type LeaseRow} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {createAdviceCaller} from './advice-caller.js';
import type {OwnerLoop} from './owner-guard.js';
import type {TeamShareStatus} from './team-shares.js';
import {
	createOwnerRunner,
	type OwnerRunner,
	type OwnerRunnerDeps,
} from './owner-runner.js';

export type OwnedServicesDeps = {
	readonly store: RowStore;
	readonly executors: Executors;
	readonly executorFeed: ExecutorFeed;
	/** Absent if the deployment has no advice service. */
	readonly advice: AdviceService | undefined;
	/** Returns a number from 0 to 1. */
	readonly random: () => number;
	readonly clock: Clock;
	readonly getStoreTime?: OwnerRunnerDeps['getStoreTime'];
	readonly cfg: scheduler.SchedulerConfig;
	readonly logger: Logger;
	readonly metrics: JobMetrics;
	readonly rowFaults: RowFaults;
	/** Whether the current configuration names the service. */
	readonly hasService: (service: string) => boolean;
	/** Whether the executors of a service reject what exceeds their capacity. */
	readonly rejectsOverload: (service: string) => boolean;
	/** Whether the deployment has teams, and their caps. */
	readonly teamCaps: OwnerRunnerDeps['teamCaps'];
	/** By which a rejection of a job is checked. */
	readonly commits: OwnerRunnerDeps['commits'];
	/** When the store last confirmed the leases. */
	readonly getLeasesConfirmedAt: () => Moment | undefined;
	/** Whether the previous holder has released the shard or was replaced. */
	readonly hasReleased: (previous: LeaseRow) => Promise<boolean>;
	/** Lists the fencing tokens of all known shards. */
	readonly listTokens: () => readonly number[];
	/**
	 * Called when a service is lost or must be given up; `rows` may name the new
	 * owner.
	 */
	readonly onOwnershipLost: (shard: string, rows: readonly StoredRow[]) => void;
	/** Called after an owner has failed, with the loop that has ended. */
	readonly onFailed: (shard: string, loop: OwnerLoop) => void;
	/** Called when the registry can't be followed any more. */
	readonly reportFailure: ReportFailure;
};

/** A job in the operators' list. */
export type JobSummary = {
	readonly job: string;
	readonly queue: string;
	readonly state: scheduler.JobState;
	readonly acceptedAtEpochMs: number;
};

/** The services that this daemon owns now. */
export type OwnedServices = {
	readonly get: (shard: string) => OwnerRunner | undefined;
	/** Starts to run a service whose shard was just acquired. */
	readonly start: (held: HeldShard, service: string) => void;
	/** Stores what is left and sends no more commands. */
	readonly release: (shard: string) => Promise<void>;
	/** Stops a service at once, because another daemon owns it. */
	readonly drop: (shard: string) => void;
	/** Stops all services at once. */
	readonly dropAll: () => void;
	readonly listJobs: () => readonly JobSummary[];
	/** Lists the shares of the teams' caps, by service. */
	readonly listTeamShares: () => ReadonlyArray<
		TeamShareStatus & {readonly shard: string}
	>;
	/** Lists what the teams have of the room of each service. */
	readonly listTeamRoom: () => ReadonlyArray<
		scheduler.TeamRoom & {readonly shard: string}
	>;
	/** Why tasks of a job do not run; absent if this daemon does not own it. */
	readonly explain: (
		route: QueueRoute,
		id: string,
	) => readonly scheduler.TaskExplanation[] | undefined;
};

export const createOwnedServices = (deps: OwnedServicesDeps): OwnedServices => {
	const {clock, logger, reportFailure} = deps;
	const runners = new Map<string, OwnerRunner>();
	const executorList = createExecutorList(deps);
	let follower: FeedFollower | undefined;
	let shareFollower: FeedFollower | undefined;

	const adviceCaller =
		deps.advice &&
		createAdviceCaller({
			...deps,
			advice: deps.advice,
			now: clock.now,
			listClients: () =>
				[...runners].map(([shard, {getOwner, replan}]) => ({
					shard,
					getOwner,
					onAdvice: replan,
				})),
		});

	const updateExecutors = (isWhole: boolean) => {
		for (const runner of runners.values()) {
			runner.updateExecutors(isWhole);
		}
	};

	/** Only owners follow the registry, since it changes often. */
	const followRegistry = () => {
		follower = createFeedFollower({
			name: 'executors',
			feed: deps.executorFeed,
			periods: followPeriods.executors,
			clock,
			logger,
			onSnapshot(batch) {
				executorList.applyWhole(batch);
				updateExecutors(true);
			},
			onChanges(batch) {
				executorList.applyChanges(batch);
				updateExecutors(false);
			},
		});
		follower.start(reportFailure);
	};

	/** Shows what other owners lack; own writes do not depend on it. */
	const followShares = () => {
		if (shareFollower !== undefined || !deps.teamCaps.hasTeams()) {
			return;
		}

		const applyRow = (row: ChangedRow) => {
			for (const runner of runners.values()) {
				runner.applyShareRow(row);
			}
		};

		const apply = ({entries}: FeedBatch<ChangedRow>) => {
			for (const {value} of entries) {
				if (value) {
					applyRow(value);
				}
			}
		};

		shareFollower = createFeedFollower({
			name: 'team-share',
			feed: createChangesOnlyFeed(deps.store, tables.teamShare),
			periods: followPeriods.teamShare,
			clock,
			logger,
			onSnapshot: apply,
			onChanges: apply,
		});
		shareFollower.start(reportFailure);
	};

	const unfollow = () => {
		follower?.stop();
		follower = undefined;
		shareFollower?.stop();
		shareFollower = undefined;
	};

	const drop = (shard: string) => {
		runners.get(shard)?.abandon();
		runners.delete(shard);
		if (runners.size === 0) {
			unfollow();
		}
	};

	return {
		get: (shard) => runners.get(shard),
		start(held, service) {
			const runner = createOwnerRunner({
				...deps,
				held,
				service,
				listExecutors: executorList.list,
				getListedAt: () => follower?.getConfirmedAt(),
				rejectsOverload: () => deps.rejectsOverload(service),
				onPlan() {
					adviceCaller?.notify();
				},
				onOwnershipLost(reason, rows) {
					logger.warn('service lost', {shard: held.shard, reason});
					deps.onOwnershipLost(held.shard, rows);
				},
				onFailed(loop) {
					deps.onFailed(held.shard, loop);
				},
			});
			runners.set(held.shard, runner);
			if (!follower) {
				followRegistry();
			}

			followShares();
			runner.start();
		},
		async release(shard) {
			await runners.get(shard)?.stop();
		},
		drop,
		dropAll() {
			for (const shard of runners.keys()) {
				drop(shard);
			}
		},
		listJobs: () =>
			[...runners.values()].flatMap((runner) =>
				[...(runner.getOwner()?.jobs.values() ?? [])].map((job) => ({
					job: job.accepted.id,
					queue: job.accepted.policy.queue,
					state: scheduler.getJobState(job),
					acceptedAtEpochMs: job.accepted.acceptedAtEpochMs,
				})),
			),
		listTeamShares: () =>
			[...runners].flatMap(([shard, runner]) =>
				runner.listTeamShares().map((each) => ({shard, ...each})),
			),
		listTeamRoom: () =>
			[...runners].flatMap(([shard, runner]) =>
				runner.listTeamRoom().map((each) => ({shard, ...each})),
			),
		explain(route, id) {
			const owner = runners.get(getServiceShard(route.service))?.getOwner();
			const job = owner?.jobs.get(id);
			return owner && job?.accepted.policy.queue === route.name
				? scheduler.explainJob(owner, job, clock.now())
				: undefined;
		},
	};
};

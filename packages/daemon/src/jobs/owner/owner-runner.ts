/**
 * Runs the jobs of one service while this daemon owns it: applies job rows and
 * the answers of executors, plans, sends commands and stores progress.
 */
import {scheduler} from '@gullstand/core';
import type {
	ChangedRow,
	Executors,
	FeedBatch,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {
	delay,
	getMaxElapsedMs,
	isConfirmedWithin,
	type Clock,
	type Moment,
} from '../clock.js';
import type {JobMetrics} from '../job-metrics.js';
import {followPeriods, periods} from '../periods.js';
import {createFeedFollower, type FeedFollower} from '../rows/feed-follower.js';
import {createTableFeed} from '../rows/table-feed.js';
import type {StoreClockReading} from '../rows/store-clock.js';
import {describeStoreError} from '../rows/store-error.js';
import {tables, type LeaseRow} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {
	createAdmissionGate,
	type AdmissionGate,
	type CommitWatch,
} from './admission-gate.js';
import {createEvacuations, type Evacuations} from './evacuations.js';
import {createFenceCheck} from './fence-check.js';
import {createFlusher, type Flusher} from './flusher.js';
import {openExecutorLink, type ExecutorLink} from './executor-link.js';
import {createExecutorLinks, type ExecutorLinks} from './executor-links.js';
import {createJobRemover} from './job-remover.js';
import {createLoadReport} from './load-report.js';
import {createOwnerGuard, type OwnerLoop} from './owner-guard.js';
import {createOwnerLog} from './owner-log.js';
import {getPlanPauseMs} from './plan-pause.js';
import {createRoomReport} from './room-report.js';
import {createStandingReport} from './standing-report.js';
import {applyJobRows} from './apply-job-rows.js';
import {getInheritedGrantMs, loadOwner} from './load-owner.js';
import {createTombstoneRemover} from './tombstone-remover.js';
import {
	createTeamShares,
	type TeamShares,
	type TeamSharesDeps,
	type TeamShareStatus,
} from './team-shares.js';

export type OwnerRunnerDeps = {
	readonly held: HeldShard;
	readonly service: string;
	readonly store: RowStore;
	readonly executors: Executors;
	/** Called after each plan, which may want placement advice. */
	readonly onPlan: () => void;
	readonly clock: Clock;
	/** Returns the latest reading of the store's clock, if there is one. */
	readonly getStoreTime?: (() => StoreClockReading | undefined) | undefined;
	readonly cfg: scheduler.SchedulerConfig;
	readonly logger: Logger;
	readonly metrics: JobMetrics;
	/** When the store last confirmed the leases. */
	readonly getLeasesConfirmedAt: () => Moment | undefined;
	/** Executors that the registry lists now, of all services. */
	readonly listExecutors: () => readonly scheduler.ListedExecutor[];
	/** When the registry was last read. */
	readonly getListedAt: () => Moment | undefined;
	/** Whether the executors reject what exceeds their capacity. */
	readonly rejectsOverload: () => boolean;
	/** Whether the deployment has teams, and their caps. */
	readonly teamCaps: Pick<TeamSharesDeps, 'hasTeams' | 'getCap' | 'getWeight'>;
	/** By which a rejection of a job is checked. */
	readonly commits: CommitWatch;
	/** Whether the previous holder has released the shard or was replaced. */
	readonly hasReleased: (previous: LeaseRow) => Promise<boolean>;
	/** Lists the fencing tokens of all known shards. */
	readonly listTokens: () => readonly number[];
	/**
	 * Called when the service is lost or must be given up; `rows` may name the new
	 * owner.
	 */
	readonly onOwnershipLost: (
		reason: string,
		rows: readonly StoredRow[],
	) => void;
	/** Called after an exception, with the loop of the owner that has ended. */
	readonly onFailed: (loop: OwnerLoop) => void;
};

/** The owner's answer to a request for a job's state. */
export type JobStateAnswer =
	| {
			readonly kind: 'state';
			readonly state: scheduler.JobState;
			/** Team of the job. */
			readonly team?: string | undefined;
	  }
	| {readonly kind: 'unknown'}
	| {readonly kind: 'not-owner'};

/** Runs one ownership of a service. */
export type OwnerRunner = {
	/** Begins to load the state, and to plan once it is loaded. */
	readonly start: () => void;
	/** Stores progress for a bounded time and stops. */
	readonly stop: () => Promise<void>;
	/** Stops at once, because another daemon owns the service. */
	readonly abandon: () => void;
	/** Applies the registry's list; `isWhole` after a complete read of it. */
	readonly updateExecutors: (isWhole: boolean) => void;
	/** Applies rows of the job table, from a peer or the store. */
	readonly applyRows: (rows: readonly ChangedRow[]) => void;
	/** Applies a row of the teams' shares, as the store shows it. */
	readonly applyShareRow: (row: ChangedRow) => void;
	readonly listTeamShares: () => readonly TeamShareStatus[];
	/** Lists what the teams have of the room, as of the latest plan. */
	readonly listTeamRoom: () => readonly scheduler.TeamRoom[];
	readonly readJob: (id: string, queue: string) => JobStateAnswer;
	readonly countPending: (queue: string) => number | undefined;
	/** Rejects a new job, or resolves to nothing if it may be stored. */
	readonly admit: AdmissionGate['admit'];
	/** Requests the evacuation of an executor; repeated until it is clear. */
	readonly evacuate: (
		...args: Parameters<Evacuations['request']>
	) => Promise<scheduler.EvacuationState>;
	/** Lets an executor be used again that will not be commanded. */
	readonly releaseEvacuation: Evacuations['release'];
	readonly getLoad: () => scheduler.ServiceLoad | undefined;
	readonly getOwner: () => scheduler.Owner | undefined;
	/** Plans again, as the owner's state was changed. */
	readonly replan: () => void;
};

/** Bound on the final flush of an owner that stops, in milliseconds. */
const maxDrainMs = 400;

/** Creates a runner; it does nothing before `start`. */
export const createOwnerRunner = (deps: OwnerRunnerDeps): OwnerRunner => {
	const {held, service, store, clock, cfg, metrics} = deps;
	const logger = deps.logger.child({shard: held.shard});
	const log = createOwnerLog({service, logger, metrics, clock});

	/** Executors that the registry lists for this service. */
	const listOwnExecutors = () =>
		deps.listExecutors().filter((each) => each.service === service);

	const listIds = () => listOwnExecutors().map(({id}) => id);

	const report = createLoadReport({logger, now: clock.now, listIds});
	const room = createRoomReport({service, logger, metrics, now: clock.now});
	const remover = createJobRemover({store, held, now: clock.now, logger});
	const tombstones = createTombstoneRemover({
		store,
		held,
		now: clock.now,
		logger,
	});
	let owner: scheduler.Owner | undefined;
	let links: ExecutorLinks<ExecutorLink> | undefined;
	let flusher: Flusher | undefined;
	let evacuations: Evacuations | undefined;
	let follower: FeedFollower | undefined;
	let shares: TeamShares | undefined;
	const state = {
		isStopped: false,
		isStopping: false,
	};
	/** Of the plan that a change requested. */
	let requestedPlanTimer: NodeJS.Timeout | undefined;
	let nextPlanAt = 0;
	let plannedAt = clock.now();
	/** Of the plan that is made in any case. */
	let periodicPlanTimer: NodeJS.Timeout | undefined;
	const throttledAt = new Map<string, number>();

	const isOwnershipConfirmed = (): boolean =>
		!state.isStopped &&
		!fences.isChecking() &&
		isConfirmedWithin(
			clock,
			deps.getLeasesConfirmedAt(),
			cfg.ownershipTimeoutMs,
		);

	const isConfirmedAndStays = (): boolean =>
		!state.isStopping && isOwnershipConfirmed();

	const standing = createStandingReport({
		service,
		logger,
		metrics,
		now: clock.now,
		isConfirmed: isConfirmedAndStays,
		listIds,
		getListAgeMs() {
			const listedAt = deps.getListedAt();
			return listedAt && Math.round(getMaxElapsedMs(clock, listedAt));
		},
	});

	// Grows while the owner holds its lease without planning.
	metrics.registerGauge('plan_age_ms', service, () =>
		state.isStopped ? undefined : Math.round(clock.now() - plannedAt),
	);

	metrics.registerGauge(
		'stray_leases',
		service,
		() => owner && scheduler.countStrayLeases(owner, clock.now()),
	);

	metrics.registerGauge(
		'unanswered_starts',
		service,
		() => owner && scheduler.countUnansweredStarts(owner),
	);

	const gate = createAdmissionGate({
		...deps,
		shard: held.shard,
		logger,
		getOwner: () =>
			cfg.rejectsUnservableJobs && isConfirmedAndStays() ? owner : undefined,
	});

	const loseOwnership = (reason: string, rows: readonly StoredRow[] = []) => {
		if (!state.isStopped) {
			abandon();
			deps.onOwnershipLost(reason, rows);
		}
	};

	const guard = createOwnerGuard({
		logger,
		metrics,
		isStopped: () => state.isStopped,
		onFailed(loop) {
			abandon();
			deps.onFailed(loop);
		},
	});

	const fences = createFenceCheck({
		...deps,
		logger,
		isTokenAccepted: () =>
			[...(owner?.executors.values() ?? [])].some(
				({isListed, isAdopted}) => isListed && isAdopted,
			),
		raiseToken(executorId) {
			const executor = owner?.executors.get(executorId);
			if (!executor || !scheduler.raiseRefusedFencingToken(executor)) {
				return false;
			}

			links?.get(executorId)?.pollNow();
			return true;
		},
		isStopped: () => state.isStopped,
		onOwnershipLost: loseOwnership,
	});

	const onChange = () => {
		flusher?.requestFlush();
		if (!state.isStopped) {
			const pauseMs = Math.max(0, nextPlanAt - clock.now());
			requestedPlanTimer ??= setTimeout(guard.run, pauseMs, 'plan', runPlan);
		}
	};

	const applyPollChanges = (
		executor: scheduler.Executor,
		changes: scheduler.PollChanges,
	) => {
		if (scheduler.areTokensUsedUp(executor)) {
			loseOwnership('the fencing tokens of an executor are used up');
			return;
		}

		evacuations?.notePoll(executor.id);
		log.logPoll(executor, changes);
		throttleRuns(executor);
		onChange();
	};

	const throttleRuns = (executor: scheduler.Executor) => {
		const last = throttledAt.get(executor.id) ?? 0;
		if (clock.now() - last < scheduler.throttleConfig.intervalMs) {
			return;
		}

		const commands = scheduler.planThrottling(executor);
		for (const command of commands) {
			links?.get(executor.id)?.sendThrottle(command);
		}

		if (commands.length > 0) {
			throttledAt.set(executor.id, clock.now());
		}
	};

	const settleCrash = (
		current: scheduler.Owner,
		run: scheduler.Run,
		answer: scheduler.StartAnswer,
	) => {
		const isTurnedAway = scheduler.isTurnedAway(answer);
		const settled = state.isStopped
			? undefined
			: scheduler.settleCrash(current, run, isTurnedAway, clock.now());
		if (settled) {
			log.logSettledCrash(run, answer.kind, settled);
			onChange();
		}
	};

	const openLink = (current: scheduler.Owner, executor: scheduler.Executor) =>
		openExecutorLink({
			owner: current,
			executor,
			executors: deps.executors,
			now: clock.now,
			isOwnershipConfirmed,
			logger,
			reportFailure: guard.createReporter('executor'),
			onChange,
			onPoll(changes) {
				applyPollChanges(executor, changes);
			},
			onFenced() {
				guard.start('fence-check', async () => fences.check(executor));
			},
			onStartAnswer(run, answer) {
				log.logStart(run, answer.kind === 'started');
				report.recordStart(
					clock.now() - run.askedAt,
					answer.kind !== 'no-answer',
				);
				settleCrash(current, run, answer);
			},
		});

	const reconcileLinks = (current: scheduler.Owner) => {
		links ??= createExecutorLinks((executor) => openLink(current, executor));
		for (const id of links.reconcile(current.executors)) {
			throttledAt.delete(id);
		}
	};

	const getRegistryReadAt = (now: number): number => {
		const listedAt = deps.getListedAt();
		return listedAt
			? now - getMaxElapsedMs(clock, listedAt)
			: Number.NEGATIVE_INFINITY;
	};

	const runPlan = () => {
		clearTimeout(requestedPlanTimer);
		requestedPlanTimer = undefined;
		if (!owner || state.isStopped) {
			return;
		}

		const now = clock.now();
		plannedAt = now;
		owner.isRegistryCurrent = isConfirmedWithin(
			clock,
			deps.getListedAt(),
			cfg.maxListingAgeMs,
		);
		owner.registryReadAt = getRegistryReadAt(now);
		owner.areListingsRecent = deps.rejectsOverload() || owner.isRegistryCurrent;
		log.logLostRuns(
			scheduler.expireLeases(owner, now),
			'its lease has expired',
		);
		scheduler.markSuspected(owner, scheduler.suspectAfterMs, now);
		reconcileLinks(owner);
		if (isConfirmedAndStays()) {
			scheduler.advanceSchedules(owner, clock.epochNow());
			shares?.prepare();
			const commands = scheduler.planCommands(owner, now, clock.epochNow());
			evacuations?.logCurrent();
			log.logSpeedEvents(scheduler.takeSpeedEvents(owner.speeds));
			for (const command of commands) {
				links?.get(command.executor.id)?.send(command);
			}
		} else {
			owner.adviceWishes.clear();
		}

		deps.onPlan();
		guard.notePlan();
		const tookMs = clock.now() - now;
		nextPlanAt = clock.now() + getPlanPauseMs(tookMs);
		report.recordPlan(tookMs);
		room.recordPlan(owner);
		shares?.update();
		flusher?.requestFlush();
	};

	/** A fault of a report does not end the ownership. */
	const writeReports = (current: scheduler.Owner) => {
		try {
			report.writeIfDue(current);
			standing.updateIfDue(current);
		} catch (err) {
			logger.error('reports not written', {error: (err as Error).message});
		}
	};

	const removeJobs = async (current: scheduler.Owner) => {
		const replacements = await remover.removeDueJobs(current);
		if (replacements.length > 0 && !state.isStopped) {
			applyRows(replacements);
		}
	};

	const runPeriodically = (dueAt: number) => {
		report.recordTimerDelay(clock.now() - dueAt);
		if (clock.now() >= nextPlanAt) {
			runPlan();
		}

		if (owner) {
			const current = owner;
			writeReports(current);
			guard.start('removal', async () => removeJobs(current));
			guard.start('removal', async () => tombstones.removeDue());
		}

		if (!state.isStopped) {
			schedulePlan();
		}
	};

	const schedulePlan = () => {
		const dueAt = clock.now() + periods.planIntervalMs;
		periodicPlanTimer = setTimeout(
			guard.run,
			periods.planIntervalMs,
			'plan',
			() => {
				runPeriodically(dueAt);
			},
		);
	};

	const logListedAnew = (
		known: scheduler.Executor | undefined,
		{id, startedAtEpochMs}: scheduler.ListedExecutor,
	) => {
		if (known && known.listed.startedAtEpochMs !== startedAtEpochMs) {
			logger.info('executor listed as another incarnation', {
				executor: id,
				startedAtEpochMs,
				previous: known.listed.startedAtEpochMs,
				answered: known.incarnation?.startedAtEpochMs,
			});
		}
	};

	const updateExecutors = (isWhole: boolean) => {
		if (!owner) {
			return;
		}

		const listed = listOwnExecutors();
		for (const each of listed) {
			logListedAnew(owner.executors.get(each.id), each);
			scheduler.recordListedExecutor(owner, each, clock.now());
		}

		for (const executor of owner.executors.values()) {
			if (scheduler.isRestartListed(executor)) {
				links?.get(executor.id)?.pollNow();
			}
		}

		const ids = new Set(listed.map(({id}) => id));
		for (const {id, isListed} of owner.executors.values()) {
			if (isListed && !ids.has(id)) {
				logger.info('executor no longer listed', {executor: id, isWhole});
				scheduler.recordUnlistedExecutor(owner, id, clock.now());
			}
		}

		if (!owner.isRegistryRead && deps.getListedAt() !== undefined) {
			scheduler.noteUnlistedInherited(owner);
		}

		onChange();
	};

	const applyRows = (rows: readonly ChangedRow[]) => {
		if (!owner) {
			return;
		}

		tombstones.note(rows);
		applyJobRows(owner, rows, {held, clock, logger, log});
		remover.note(owner, rows);
		onChange();
	};

	const applyBatch = ({entries}: FeedBatch<ChangedRow>) => {
		applyRows(entries.flatMap(({value}) => (value ? [value] : [])));
	};

	const load = async () => {
		while (!state.isStopped) {
			const loaded = await loadOwner(service, held, {
				store,
				logger,
				cfg,
				clock,
			});
			if (loaded.ok) {
				return loaded.value;
			}

			logger.warn(
				'rows of the service not read',
				describeStoreError(loaded.error),
			);
			await delay(periods.flushRetryMs);
		}

		return undefined;
	};

	/** Waits until the previous owner certainly grants no more leases. */
	const awaitPreviousRelease = async (
		current: scheduler.Owner,
		earlierLeasesEndAt: number,
	) => {
		const {previousHolder} = held;
		if (!previousHolder) {
			return;
		}

		while (!state.isStopped && current.unresolvedExecutors.size > 0) {
			if (await deps.hasReleased(previousHolder)) {
				const grantedMs = getInheritedGrantMs({previous: 'released'}, cfg);
				scheduler.limitInheritedLeases(
					current,
					Math.max(clock.now() + grantedMs, earlierLeasesEndAt),
				);
				logger.info('previous owner grants no more leases', {
					holder: previousHolder.holder?.entry,
				});
				return;
			}

			await delay(periods.previousHolderRetryMs);
		}
	};

	const start = async () => {
		const loaded = await load();
		if (!loaded || state.isStopped) {
			return;
		}

		owner = loaded.owner;
		owner.isRegistryRead = false;
		tombstones.note(loaded.jobRows);
		remover.note(owner, loaded.jobRows);
		flusher = createFlusher({
			store,
			owner,
			held,
			flushVersion: loaded.flushVersion,
			storeTime: loaded.storeTime,
			getStoreTime: deps.getStoreTime,
			rosterKeys: loaded.rosterKeys,
			clock,
			logger,
			onAckable(executors) {
				for (const {id} of executors) {
					links?.get(id)?.notifyAckable();
				}
			},
			onStored(flush) {
				guard.run('flush', () => {
					log.logFlush(flush);
				});
			},
			onJobEnd({job, end, reason}) {
				log.logJobEnd(job, end, reason);
				onChange();
			},
			reportFailure: guard.createReporter('flush'),
			onOwnershipLost: loseOwnership,
		});
		const {getStoreTime} = flusher;
		evacuations = createEvacuations({
			store,
			owner,
			held,
			version: loaded.reservationsVersion,
			clock,
			getStoreTime,
			logger,
			isConfirmed: isConfirmedAndStays,
			pollNow(executorId) {
				links?.get(executorId)?.pollNow();
			},
			onChange,
			onOwnershipLost: loseOwnership,
		});
		shares = createTeamShares({
			...deps.teamCaps,
			store,
			held,
			owner,
			now: clock.now,
			logger,
			onGrown: onChange,
			reportFailure: guard.createReporter('shares'),
		});
		follower = createFeedFollower({
			name: 'job',
			feed: createTableFeed(store, tables.job, {kind: 'one', part: held.shard}),
			periods: followPeriods.job,
			startVersion: loaded.version,
			clock,
			logger,
			onSnapshot: applyBatch,
			onChanges: applyBatch,
		});
		logger.info('service taken over', {
			fencingToken: held.token,
			previous: held.previous,
			jobs: owner.jobs.size,
			open: owner.openJobs.size,
			unresolvedExecutors: owner.unresolvedExecutors.size,
			unansweredStarts: owner.possiblyStarted.size,
		});
		updateExecutors(true);
		follower.start(guard.createReporter('job-feed'));
		schedulePlan();
		guard.watchPlans();
		if (held.previous === 'silent') {
			await awaitPreviousRelease(owner, loaded.earlierLeasesEndAt);
		}
	};

	const abandon = () => {
		state.isStopped = true;
		guard.stop();
		clearTimeout(periodicPlanTimer);
		clearTimeout(requestedPlanTimer);
		follower?.stop();
		shares?.stop();
		standing.stop();
		flusher?.stop();
		links?.closeAll();
	};

	const getLoad = (): scheduler.ServiceLoad | undefined =>
		owner && scheduler.describeLoad(owner, clock.now(), clock.epochNow());

	return {
		start() {
			guard.start('start', start);
		},
		async stop() {
			state.isStopping = true;
			if (owner) {
				scheduler.recordUnresponsive(owner, clock.now());
			}

			await Promise.race([flusher?.drain(), delay(maxDrainMs)]);
			abandon();
		},
		abandon,
		updateExecutors(isWhole) {
			guard.run('registry', () => {
				updateExecutors(isWhole);
			});
		},
		applyRows(rows) {
			guard.run('rows', () => {
				applyRows(rows);
			});
		},
		applyShareRow(row) {
			guard.run('shares', () => {
				shares?.applyRow(row);
			});
		},
		listTeamShares: () => shares?.describe() ?? [],
		listTeamRoom: () => owner?.roomShares.teams ?? [],
		readJob(id, queue) {
			if (!owner || !isOwnershipConfirmed()) {
				return {kind: 'not-owner'};
			}

			const job = owner.jobs.get(id);
			return job?.accepted.policy.queue === queue
				? {
						kind: 'state',
						state: scheduler.getJobState(job),
						team: job.accepted.team,
					}
				: {kind: 'unknown'};
		},
		countPending: (queue) =>
			owner && isOwnershipConfirmed()
				? scheduler.countPending(owner, queue)
				: undefined,
		admit: gate.admit,
		evacuate: async (...args) =>
			evacuations?.request(...args) ?? {kind: 'not-owner'},
		releaseEvacuation(...args) {
			evacuations?.release(...args);
		},
		getLoad,
		getOwner: () => owner,
		replan() {
			if (!state.isStopped) {
				onChange();
			}
		},
	};
};

/**
 * Runs the jobs of one service for as long as this daemon owns it: takes in
 * jobs, looks and answers, plans, sends the orders, stores what has ended.
 */
import {scheduler} from '@gullstand/core';
import type {
	AdviceService,
	ChangedRow,
	Executors,
	FeedBatch,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {delay, isConfirmedWithin, type Clock, type Moment} from '../clock.js';
import type {JobMetrics} from '../job-metrics.js';
import {followPeriods, periods} from '../periods.js';
import {createFeedFollower, type FeedFollower} from '../rows/feed-follower.js';
import {createTableFeed} from '../rows/table-feed.js';
import {tables, type LeaseRow} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {createFlusher, type Flusher} from './flusher.js';
import {openExecutorLink, type ExecutorLink} from './executor-link.js';
import {createExecutorLinks, type ExecutorLinks} from './executor-links.js';
import {createJobRemover} from './job-remover.js';
import {createLoadReport} from './load-report.js';
import {createOwnerLog} from './owner-log.js';
import {getPlanPauseMs} from './plan-pause.js';
import {applyJobRows} from './apply-job-rows.js';
import {getInheritedGrantMs, loadOwner} from './load-owner.js';

/** What an owner's runner needs. */
export type OwnerRunnerDeps = {
	readonly held: HeldShard;
	readonly service: string;
	readonly store: RowStore;
	readonly executors: Executors;
	/** Absent where the deployment has none. */
	readonly advice: AdviceService | undefined;
	readonly clock: Clock;
	readonly cfg: scheduler.SchedulerConfig;
	readonly logger: Logger;
	readonly metrics: JobMetrics;
	/** When the leases were last confirmed by the store. */
	readonly getLeasesConfirmedAt: () => Moment | undefined;
	/** Executors listed now, of all services. */
	readonly listExecutors: () => readonly scheduler.ListedExecutor[];
	/** Whether the holder before has let go: it says so, or is another life. */
	readonly hasReleased: (previous: LeaseRow) => Promise<boolean>;
	/** The service is another's; `rows` may say whose. */
	readonly onOwnershipLost: (
		reason: string,
		rows: readonly StoredRow[],
	) => void;
	readonly reportFailure: ReportFailure;
};

/** What a caller learns of a job from its owner. */
export type JobStateAnswer =
	| {readonly kind: 'state'; readonly state: scheduler.JobState}
	| {readonly kind: 'unknown'}
	| {readonly kind: 'not-owner'};

/** The runner of one ownership. */
export type OwnerRunner = {
	/** Resolves once the state is read; orders follow by themselves. */
	readonly start: () => Promise<void>;
	/** Stores what it can and lets go. */
	readonly stop: () => Promise<void>;
	/** Lets go at once: the service is another's. */
	readonly abandon: () => void;
	readonly updateExecutors: (isWhole: boolean) => void;
	/** Takes in rows of the job table, from a peer or the store. */
	readonly applyRows: (rows: readonly ChangedRow[]) => void;
	readonly readJob: (id: string, queue: string) => JobStateAnswer;
	readonly countPending: (queue: string) => number | undefined;
	readonly evacuate: (
		executorId: string,
		patienceMs: number,
	) => scheduler.EvacuationState;
	/** The platform says that an executor's life is over. */
	readonly markTerminated: (executorId: string) => void;
	readonly getLoad: () => scheduler.ServiceLoad | undefined;
	readonly getOwner: () => scheduler.Owner | undefined;
};

/** Bound on the last flush of an owner that lets go, in milliseconds. */
const maxDrainMs = 400;

/** Creates a runner; it does nothing before `start`. */
export const createOwnerRunner = (deps: OwnerRunnerDeps): OwnerRunner => {
	const {held, service, store, clock, cfg, metrics} = deps;
	const logger = deps.logger.child({shard: held.shard});
	const log = createOwnerLog({service, logger, metrics, clock});
	const report = createLoadReport({logger, now: clock.now});
	const remover = createJobRemover({store, held, now: clock.now, logger});
	let owner: scheduler.Owner | undefined;
	let links: ExecutorLinks<ExecutorLink> | undefined;
	let flusher: Flusher | undefined;
	let follower: FeedFollower | undefined;
	const state = {isStopped: false, isLettingGo: false};
	let dueTimer: NodeJS.Timeout | undefined;
	let planNotBefore = 0;
	let planTimer: NodeJS.Timeout | undefined;
	const pacedAt = new Map<string, number>();

	const isBelieved = (): boolean =>
		!state.isStopped &&
		isConfirmedWithin(
			clock,
			deps.getLeasesConfirmedAt(),
			cfg.ownershipTimeoutMs,
		);

	const lose = (reason: string, rows: readonly StoredRow[] = []) => {
		if (!state.isStopped) {
			abandon();
			deps.onOwnershipLost(reason, rows);
		}
	};

	const onChange = () => {
		flusher?.requestFlush();
		if (!state.isStopped) {
			const pauseMs = Math.max(0, planNotBefore - clock.now());
			dueTimer ??= setTimeout(runPlan, pauseMs);
		}
	};

	const takeLookChanges = (
		executor: scheduler.Executor,
		changes: scheduler.PollChanges,
	) => {
		log.logPoll(executor, changes);
		planPaces(executor);
		onChange();
	};

	const planPaces = (executor: scheduler.Executor) => {
		const last = pacedAt.get(executor.id) ?? 0;
		if (clock.now() - last < scheduler.throttleConfig.intervalMs) {
			return;
		}

		const orders = scheduler.planThrottling(executor);
		for (const order of orders) {
			links?.get(executor.id)?.sendThrottle(order);
		}

		if (orders.length > 0) {
			pacedAt.set(executor.id, clock.now());
		}
	};

	const noteGone = (id: string, reason: string) => {
		if (owner) {
			log.logFreedRuns(scheduler.markTerminated(owner, id), reason);
			onChange();
		}
	};

	const openLink = (current: scheduler.Owner, executor: scheduler.Executor) =>
		openExecutorLink({
			owner: current,
			executor,
			executors: deps.executors,
			now: clock.now,
			isOwnershipConfirmed: isBelieved,
			logger,
			onChange,
			onPoll(changes) {
				takeLookChanges(executor, changes);
			},
			onFenced() {
				lose('an executor has seen a higher fencing token');
			},
			onOtherIncarnation() {
				noteGone(executor.id, 'another life answers at the address');
			},
			onStartAnswer(run, answer) {
				log.logStart(run, answer === 'started');
				report.recordStart(clock.now() - run.askedAt, answer !== 'no-answer');
			},
		});

	const matchLinks = (current: scheduler.Owner) => {
		links ??= createExecutorLinks((executor) => openLink(current, executor));
		for (const id of links.reconcile(current.executors)) {
			pacedAt.delete(id);
		}
	};

	const ask = async (
		current: scheduler.Owner,
		request: scheduler.AdviceRequest,
	) => {
		const askedAt = clock.now();
		const advice = await deps.advice?.requestAdvice(
			request,
			periods.adviceTimeoutMs,
		);
		logger.info('advice', {
			step: request.stepId,
			asked: request.executorIds.length,
			named: advice?.tickets.length,
			validMs: advice?.validMs,
			tookMs: Math.round(clock.now() - askedAt),
		});
		// Tickets are valid from the answer on, which was made before it came.
		scheduler.applyAdvice(current, request, advice, clock.now());
		onChange();
	};

	const runPlan = () => {
		clearTimeout(dueTimer);
		dueTimer = undefined;
		if (!owner || state.isStopped) {
			return;
		}

		const now = clock.now();
		log.logFreedRuns(scheduler.expireLeases(owner, now), 'its lease is over');
		scheduler.markSuspected(owner, scheduler.suspectAfterMs, now);
		matchLinks(owner);
		if (isBelieved() && !state.isLettingGo) {
			scheduler.advanceSchedules(owner, clock.epochNow());
			const orders = scheduler.planCommands(owner, now, clock.epochNow());
			for (const order of orders) {
				if (order.kind === 'advise') {
					void ask(owner, order);
				} else {
					links?.get(order.executor.id)?.send(order);
				}
			}
		}

		const tookMs = clock.now() - now;
		planNotBefore = clock.now() + getPlanPauseMs(tookMs);
		report.recordPlan(tookMs);
		flusher?.requestFlush();
	};

	const planAgain = () => {
		const dueAt = clock.now() + periods.planIntervalMs;
		planTimer = setTimeout(() => {
			report.recordTimerDelay(clock.now() - dueAt);
			if (clock.now() >= planNotBefore) {
				runPlan();
			}

			if (owner) {
				report.writeIfDue(owner);
				void remover.removeDueJobs(owner);
			}

			if (!state.isStopped) {
				planAgain();
			}
		}, periods.planIntervalMs);
	};

	const noteExecutors = (isWhole: boolean) => {
		if (!owner) {
			return;
		}

		const listed = deps
			.listExecutors()
			.filter((each) => each.service === service);
		for (const each of listed) {
			scheduler.recordListedExecutor(owner, each);
		}

		const ids = new Set(listed.map(({id}) => id));
		for (const {id, isListed} of owner.executors.values()) {
			if (isListed && !ids.has(id)) {
				logger.info('executor no longer listed', {executor: id, isWhole});
				scheduler.recordUnlistedExecutor(owner, id);
			}
		}

		onChange();
	};

	const noteRows = (rows: readonly ChangedRow[]) => {
		if (!owner) {
			return;
		}

		applyJobRows(owner, rows, {held, clock, logger, log});
		onChange();
	};

	const applyBatch = ({entries}: FeedBatch<ChangedRow>) => {
		noteRows(entries.flatMap(({value}) => (value ? [value] : [])));
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

			logger.warn('rows not read', {reason: loaded.error.kind});
			await delay(periods.flushRetryMs);
		}

		return undefined;
	};

	/** Until the owner before has let go, it may go on granting leases. */
	const settlePrevious = async (current: scheduler.Owner) => {
		const {previousHolder} = held;
		if (!previousHolder) {
			return;
		}

		while (!state.isStopped && current.unresolvedExecutors.size > 0) {
			if (await deps.hasReleased(previousHolder)) {
				const grantedMs = getInheritedGrantMs({previous: 'released'}, cfg);
				scheduler.limitInheritedLeases(current, clock.now() + grantedMs);
				logger.info('the owner before has let go', {
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
		flusher = createFlusher({
			store,
			owner,
			held,
			flushVersion: loaded.flushVersion,
			storeTime: loaded.storeTime,
			clock,
			logger,
			onAckable(executors) {
				for (const {id} of executors) {
					links?.get(id)?.notifyAckable();
				}
			},
			onStored: log.logFlush,
			onOwnershipLost: lose,
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
		});
		noteExecutors(true);
		follower.start(deps.reportFailure);
		planAgain();
		if (held.previous === 'silent') {
			await settlePrevious(owner);
		}
	};

	const abandon = () => {
		state.isStopped = true;
		clearTimeout(planTimer);
		clearTimeout(dueTimer);
		follower?.stop();
		flusher?.stop();
		links?.closeAll();
	};

	const getLoad = (): scheduler.ServiceLoad | undefined =>
		owner && scheduler.describeLoad(owner, clock.now(), clock.epochNow());

	return {
		start,
		async stop() {
			state.isLettingGo = true;
			await Promise.race([flusher?.drain(), delay(maxDrainMs)]);
			abandon();
		},
		abandon,
		updateExecutors: noteExecutors,
		applyRows: noteRows,
		readJob(id, queue) {
			if (!owner || !isBelieved()) {
				return {kind: 'not-owner'};
			}

			const job = owner.jobs.get(id);
			return job?.accepted.policy.queue === queue
				? {kind: 'state', state: scheduler.getJobState(job)}
				: {kind: 'unknown'};
		},
		countPending: (queue) =>
			owner && isBelieved() ? scheduler.countPending(owner, queue) : undefined,
		evacuate(executorId, patienceMs) {
			if (!owner) {
				return {kind: 'unknown-executor'};
			}

			const evacuation = scheduler.requestEvacuation(
				owner,
				executorId,
				patienceMs,
				clock.now(),
			);
			onChange();
			return evacuation;
		},
		markTerminated(executorId) {
			noteGone(executorId, 'the platform lists it no more');
		},
		getLoad,
		getOwner: () => owner,
	};
};

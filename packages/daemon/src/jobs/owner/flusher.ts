/**
 * Stores the progress of a service's jobs. Each flush checks the lease row, so
 * that a deposed owner stores nothing. It also checks and rewrites the flush
 * row, so that a delayed flush changes nothing. A flush that the store refuses
 * for good is made smaller until the row is found that it refuses.
 */
import {scheduler} from '@gullstand/core';
import type {RowStore, RowTransaction, StoredRow} from '@gullstand/ports';
import {match} from 'ts-pattern';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {runInBackground} from '../background.js';
import {delay, getMoment, type Clock} from '../clock.js';
import {periods} from '../periods.js';
import {
	getLatestStoreMs,
	pickLatestStoreReading,
	type StoreClockReading,
} from '../rows/store-clock.js';
import {
	getLeaseCheck,
	getProgressKey,
	singleKeys,
	tables,
} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {createFlushLog} from './flush-log.js';
import {createHeldJobs} from './held-jobs.js';
import {
	createRosterWriter,
	maxRosterWrites,
	type RosterStep,
} from './roster-writer.js';
import {createRunTimesRow} from './run-times-row.js';

/** Entries of a transaction besides rows of jobs and the roster. */
const otherEntries = 3;

export type FlusherDeps = {
	readonly store: RowStore;
	readonly owner: scheduler.Owner;
	readonly held: HeldShard;
	readonly flushVersion: number;
	/** Keys of the roster's rows that an earlier owner has stored. */
	readonly rosterKeys: readonly string[];
	/** Bytes of the value of a row. */
	readonly maxRowBytes?: number | undefined;
	readonly clock: Clock;
	/** The store's clock at the takeover. */
	readonly storeTime: StoreClockReading;
	/** Returns the latest reading of the store's clock by other calls. */
	readonly getStoreTime?: (() => StoreClockReading | undefined) | undefined;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called with the executors whose latest ends may be acknowledged. */
	readonly onAckable: (executors: readonly scheduler.Executor[]) => void;
	readonly onStored: (flush: scheduler.Flush) => void;
	/** Called with a job that fails since it cannot be stored. */
	readonly onJobEnd?: ((ended: scheduler.EndedJob) => void) | undefined;
	/** Called when flushes end by an error; the process has to end. */
	readonly reportFailure?: ReportFailure | undefined;
	/** Called when another daemon holds the lease; `rows` are the current ones. */
	readonly onOwnershipLost: (
		reason: string,
		rows: readonly StoredRow[],
	) => void;
};

/** Stores the progress of one ownership. */
export type Flusher = {
	/** Flushes soon, or at once if a job has ended or the roster changed. */
	readonly requestFlush: () => void;
	readonly stop: () => void;
	/** Returns the latest reading of the store's clock. */
	readonly getStoreTime: () => StoreClockReading;
	/** Stops the timer and flushes until nothing is left or a flush fails. */
	readonly drain: () => Promise<void>;
};

const isUrgent = ({dirtyJobs, isRosterDirty}: scheduler.Owner): boolean =>
	isRosterDirty || [...dirtyJobs].some(({end}) => end !== undefined);

export const createFlusher = (deps: FlusherDeps): Flusher => {
	const {store, owner, logger, clock} = deps;
	const part = deps.held.shard;
	const flushKey = {table: tables.owner, part, key: singleKeys.flush};
	let {flushVersion, storeTime} = deps;
	const getStoreTime = (): StoreClockReading =>
		pickLatestStoreReading(storeTime, deps.getStoreTime?.());
	const rosterWriter = createRosterWriter({
		part,
		storedKeys: deps.rosterKeys,
		storedIds: owner.executors.keys(),
		limits: store.limits,
		token: deps.held.token,
		toStoreMs: (at) => getLatestStoreMs(clock, getStoreTime(), at),
		logger,
	});
	const {maxEntries, maxTransactionBytes, safeValueBytes} = store.limits;
	const maxRowsPerFlush = maxEntries - otherEntries - maxRosterWrites;
	const maxRowBytes = deps.maxRowBytes ?? safeValueBytes;
	const runTimesRow = createRunTimesRow(part, owner.runTimes, store.limits);
	let running: Promise<void> | undefined;
	let timer: NodeJS.Timeout | undefined;
	const state = {isStopped: false, isDraining: false};
	let scope = scheduler.createFlushScope(maxRowsPerFlush);
	/** Until then the roster, which the store refused, is not stored. */
	let rosterRetryAt = 0;
	/** Until the executors are tried again that the store refused in the roster. */
	let setAsideTimer: NodeJS.Timeout | undefined;
	const loggedSetAside = new Set<string>();
	const log = createFlushLog(deps, part);
	const held = createHeldJobs({
		owner,
		now: clock.now,
		logger,
		shard: part,
		onJobEnd: deps.onJobEnd,
		onReleased() {
			requestFlush();
		},
		onNoEvidence() {
			runInBackground(sendProbe, reportFailure);
		},
	});

	const planRoster = ({roster}: scheduler.Flush): RosterStep | undefined =>
		roster && rosterWriter.plan(roster);

	const toTransaction = (
		flush: scheduler.Flush,
		roster: RosterStep | undefined,
	): RowTransaction => {
		const toKey = (job: scheduler.Job, first: number | undefined) => ({
			table: tables.progress,
			part,
			key: getProgressKey(job.accepted.id, first),
		});
		const puts = flush.jobs.flatMap(({job, rows}) =>
			rows.map(({first, value}) => ({...toKey(job, first), value})),
		);
		const removes = flush.jobs.flatMap(({job, removes: firsts}) =>
			firsts.map((first) => toKey(job, first)),
		);
		return {
			checks: [getLeaseCheck(deps.held), {...flushKey, version: flushVersion}],
			puts: [
				{...flushKey, value: String(flush.number)},
				...puts,
				...(roster?.puts ?? []),
			],
			removes: [...removes, ...(roster?.removes ?? [])],
		};
	};

	/** Returns whether the conflict came from a delayed flush of this owner. */
	const resolveConflict = (rows: readonly StoredRow[]): boolean => {
		const lease = rows.find(({table}) => table === tables.lease);
		if (lease?.version !== deps.held.version) {
			deps.onOwnershipLost('the lease row has changed', rows);
			return false;
		}

		const flush = rows.find(({table}) => table === tables.owner);
		flushVersion = flush?.version ?? 0;
		return true;
	};

	/** Applies a flush that was stored, with the part of the roster in it. */
	const complete = (flush: scheduler.Flush, roster: RosterStep | undefined) => {
		owner.isRosterDirty ||= roster?.isComplete === false;
		for (const id of roster?.leftOut ?? []) {
			const executor = owner.executors.get(id);
			if (executor) {
				executor.isRostered = false;
			}
		}

		return scheduler.completeFlush(owner, {
			...flush,
			roster: roster?.entries,
		});
	};

	const reportFailure: ReportFailure = (err) => {
		logger.warn('flushes end by an error', {shard: part, error: err.message});
		deps.reportFailure?.(err);
	};

	const isRosterDue = () => clock.now() >= rosterRetryAt;

	const needsFlush = () => scheduler.needsFlush(owner, isRosterDue());

	const beginFlush = (): scheduler.Flush => {
		scheduler.noteUnstored(owner, clock.now());
		const isNarrow = scheduler.isNarrow(scope);
		const isRosterOnly = isNarrow && owner.isRosterDirty && isRosterDue();
		const withRoster = isRosterOnly || (!isNarrow && isRosterDue());
		const rosterBytes =
			withRoster && owner.isRosterDirty ? rosterWriter.maxBytes : 0;
		return scheduler.beginFlush(owner, isRosterOnly ? 0 : scope.maxEntries, {
			maxRowBytes,
			maxBytes: Math.max(maxTransactionBytes - rosterBytes, 2 * maxRowBytes),
			maxJobs: scope.maxJobs,
			withRoster,
		});
	};

	const retryRosterLater = () => {
		rosterRetryAt = clock.now() + periods.refusedRetryMs;
		setTimeout(requestFlush, periods.refusedRetryMs).unref();
	};

	const retrySetAside = () => {
		setAsideTimer = undefined;
		rosterWriter.retrySetAside();
		owner.isRosterDirty = true;
		requestFlush();
	};

	const noteSetAside = (executor: string) => {
		const retryMs = periods.refusedExecutorRetryMs;
		setAsideTimer ??= setTimeout(retrySetAside, retryMs).unref();
		if (!loggedSetAside.has(executor)) {
			loggedSetAside.add(executor);
			logger.warn('executor not used: the store refuses it in the roster', {
				shard: part,
				executor,
				retryMs,
			});
		}
	};

	const handleRosterRefusal = (step: RosterStep) => {
		match(rosterWriter.recordRefusal(step))
			.with({kind: 'narrowed'}, () => undefined)
			.with({kind: 'set-aside'}, ({executor}) => {
				noteSetAside(executor);
			})
			.with({kind: 'unexplained'}, retryRosterLater)
			.exhaustive();
	};

	/** Makes the next flush smaller, or holds back what cannot be smaller. */
	const handleRefusal = (
		flush: scheduler.Flush,
		roster: RosterStep | undefined,
		hadRunTimes: boolean,
	) => {
		const narrower = scheduler.narrowScope(scope, flush);
		const [only] = flush.jobs;
		if (hadRunTimes) {
			// The next flushes do not have them.
			return;
		}

		if (narrower) {
			scope = narrower;
		} else if (only) {
			held.hold(only.job, only.rows[0]?.bytes ?? 0);
		} else if (roster) {
			handleRosterRefusal(roster);
		}
	};

	/** Sends a flush; `false` if the next one should wait for another change. */
	const send = async (flush: scheduler.Flush): Promise<boolean> => {
		for (const {job, err} of flush.faults) {
			held.failUnencodable(job, err);
		}

		const roster = planRoster(flush);
		const progress = toTransaction(flush, roster);
		const transaction = scheduler.isNarrow(scope)
			? progress
			: runTimesRow.addTo(progress, clock.now());
		const sent = getMoment(clock);
		const result = await store.transact(transaction, periods.storeTimeoutMs);
		if (result.ok) {
			flushVersion = result.value.version;
			storeTime = {nowMs: result.value.nowMs, sent};
			scope = scheduler.widenScope(scope, maxRowsPerFlush);
			rosterWriter.record(transaction, roster);
			log.logStored(flush);
			deps.onAckable(complete(flush, roster));
			held.recordTaken(flush);
			deps.onStored(flush);
			return true;
		}

		scheduler.abandonFlush(owner, flush);
		const mayBeStored = result.error.kind === 'timeout';
		rosterWriter.forget(transaction, mayBeStored ? roster : undefined);
		log.logNotStored(flush, result.error);
		if (result.error.kind === 'conflict') {
			return resolveConflict(result.error.rows);
		}

		if (result.error.kind === 'rejected') {
			handleRefusal(flush, roster, transaction !== progress);
			return true;
		}

		await delay(periods.flushRetryMs);
		return false;
	};

	const flushOnce = async (): Promise<boolean> => send(beginFlush());

	const run = async () => {
		while (!state.isStopped && needsFlush()) {
			await flushOnce();
		}
	};

	const runThenRequest = async () => {
		try {
			await run();
		} finally {
			running = undefined;
		}

		requestFlush();
	};

	/** Finds out whether the store takes a flush without rows of jobs. */
	const sendProbe = async () => {
		if (state.isStopped || state.isDraining || running) {
			return;
		}

		const probe = async () => {
			await send(
				scheduler.beginFlush(owner, 0, {
					...scheduler.defaultFlushLimits,
					withRoster: false,
				}),
			);
		};

		running = probe();
		try {
			await running;
		} finally {
			running = undefined;
		}

		requestFlush();
	};

	const begin = () => {
		timer = undefined;
		runInBackground(async () => {
			running ??= runThenRequest();
			await running;
		}, reportFailure);
	};

	const requestFlush = () => {
		if (state.isStopped || state.isDraining || running) {
			return;
		}

		scheduler.noteUnstored(owner, clock.now());
		if (!needsFlush()) {
			deps.onAckable(scheduler.acknowledgeAll(owner));
			return;
		}

		if (isUrgent(owner)) {
			clearTimeout(timer);
			begin();
			return;
		}

		timer ??= setTimeout(begin, periods.flushDelayMs);
	};

	return {
		requestFlush,
		stop() {
			state.isStopped = true;
			clearTimeout(timer);
			clearTimeout(setAsideTimer);
			held.stop();
		},
		getStoreTime,
		async drain() {
			// A concurrent flush or acknowledgement would treat ends as stored while
			// the flush that contains them is still under way.
			state.isDraining = true;
			clearTimeout(timer);
			await running;
			// So that the next owner need not wait for unresponsive executors again.
			scheduler.markSuspected(owner, 0, clock.now());
			scheduler.giveUpAnswers(owner);
			while (!state.isStopped && needsFlush()) {
				if (!(await flushOnce())) {
					return;
				}
			}
		},
	};
};

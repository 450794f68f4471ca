/** Reads all rows of a service and builds its owner's state from them. */
import {scheduler, succeed, type Result} from '@gullstand/core';
import type {RowStore, RowStoreError, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {getMoment, type Clock} from '../clock.js';
import type {StoreTime} from '../rows/store-time.js';
import {readWhole} from '../rows/table-feed.js';
import {decodeRows} from '../rows/decode-rows.js';
import {
	jobSchema,
	parseJobKey,
	progressSchema,
	rosterSchema,
	singleKeys,
	tables,
	type RosterRow,
} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

/** What a load needs. */
export type LoadOwnerDeps = {
	readonly store: RowStore;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly cfg: scheduler.SchedulerConfig;
	readonly clock: Clock;
};

/** The state of a service just taken over. */
export type LoadedOwner = {
	readonly owner: scheduler.Owner;
	/** Version from which the job table is followed. */
	readonly version: number;
	/** Version of the row that each flush rewrites; 0 if there is none. */
	readonly flushVersion: number;
	readonly storeTime: StoreTime;
};

type Rows = {
	readonly jobs: readonly StoredRow[];
	readonly progress: readonly StoredRow[];
	readonly kept: readonly StoredRow[];
	readonly version: number;
	readonly storeTime: StoreTime;
};

/**
 * Rows of a page: a connection that is lost costs one page, and a page of the
 * largest jobs, 4,000 bytes of payload each, lasts 0.7 s at 7 Mbit/s, also
 * where a store bounds the whole of an answer.
 */
const pageLimit = 100;

const readRows = async (
	{store, clock}: LoadOwnerDeps,
	part: string,
): Promise<Result<Rows, RowStoreError>> => {
	const readTable = async (table: string) =>
		readWhole(store, {table, part, limit: pageLimit}, periods.storeTimeoutMs);
	// One after another: they share one link.
	const jobs = await readTable(tables.job);
	if (!jobs.ok) {
		return jobs;
	}

	const progress = await readTable(tables.progress);
	if (!progress.ok) {
		return progress;
	}

	const sent = getMoment(clock);
	const kept = await readTable(tables.owner);
	if (!kept.ok) {
		return kept;
	}

	return succeed({
		jobs: jobs.value.rows,
		progress: progress.value.rows,
		kept: kept.value.rows,
		version: jobs.value.version,
		storeTime: {nowMs: kept.value.nowMs, sent},
	});
};

/**
 * How long what the previous holder granted may last. One that gave the shard
 * back, or whose process is replaced, grants nothing more; a silent one may
 * go on for as long as it believes in its lease.
 */
export const getInheritedGrantMs = (
	{previous}: Pick<HeldShard, 'previous'>,
	cfg: scheduler.SchedulerConfig,
): number => {
	const granted = scheduler.getGrantedMs(cfg);
	return previous === 'silent' ? granted + cfg.ownerBeliefMs : granted;
};

const addJobs = (
	owner: scheduler.Owner,
	rows: Rows,
	{logger, clock: {now}}: LoadOwnerDeps,
): void => {
	const jobRows = rows.jobs.filter(({key}) => !parseJobKey(key).isCancel);
	for (const {value} of decodeRows(jobRows, jobSchema, logger)) {
		scheduler.addJob(owner, value, true);
	}

	for (const {row, value} of decodeRows(
		rows.progress,
		progressSchema,
		logger,
	)) {
		const job = owner.jobs.get(row.key);
		if (job) {
			scheduler.applyProgress(job, value, now());
		}
	}

	for (const {key} of rows.jobs) {
		const {id, isCancel} = parseJobKey(key);
		const job = isCancel ? owner.jobs.get(id) : undefined;
		if (job) {
			scheduler.cancelJob(owner, job, now());
		}
	}

	for (const job of owner.jobs.values()) {
		if (job.end) {
			owner.openJobs.delete(job);
		}
	}
};

/**
 * For how long nothing has been granted on an executor; absent if something
 * may have been. Only the word of the last owner counts: one of a release that
 * knows no marks leaves an older mark as it is and grants on.
 */
const getDarkMs = (
	{darkSinceMs, markedBy}: Pick<RosterRow, 'darkSinceMs' | 'markedBy'>,
	held: HeldShard,
	{storeTime}: Rows,
): number | undefined =>
	darkSinceMs === undefined || markedBy !== held.token - 1
		? undefined
		: storeTime.nowMs - darkSinceMs;

const addRoster = (
	owner: scheduler.Owner,
	held: HeldShard,
	rows: Rows,
	{logger, cfg, clock}: LoadOwnerDeps,
): void => {
	const rosters = rows.kept.filter(({key}) => key === singleKeys.roster);
	const now = clock.now();
	const inheritedMs = getInheritedGrantMs(held, cfg);
	for (const {value} of decodeRows(rosters, rosterSchema, logger)) {
		for (const {darkSinceMs, markedBy, ...listed} of value) {
			const darkMs = getDarkMs({darkSinceMs, markedBy}, held, rows);
			const restMs =
				darkMs === undefined
					? inheritedMs
					: Math.min(inheritedMs, scheduler.getGrantedMs(cfg) - darkMs);
			const darkSince = darkMs === undefined ? undefined : now - darkMs;
			scheduler.inheritExecutor(owner, listed, now + restMs, darkSince);
		}
	}
};

/**
 * Reads the rows after the lease row was won: nothing of an earlier owner can
 * be stored from then on, since its writes check that row.
 */
export const loadOwner = async (
	service: string,
	held: HeldShard,
	deps: LoadOwnerDeps,
): Promise<Result<LoadedOwner, RowStoreError>> => {
	const rows = await readRows(deps, held.shard);
	if (!rows.ok) {
		return rows;
	}

	const owner = scheduler.createOwner(
		service,
		held.token,
		deps.cfg,
		deps.clock.now(),
	);
	addJobs(owner, rows.value, deps);
	addRoster(owner, held, rows.value, deps);
	const flush = rows.value.kept.find(({key}) => key === singleKeys.flush);
	return succeed({
		owner,
		version: rows.value.version,
		flushVersion: flush?.version ?? 0,
		storeTime: rows.value.storeTime,
	});
};

/** Builds the state of a service's owner from the stored rows at a takeover. */
import {scheduler, succeed, type Result} from '@gullstand/core';
import type {RowStore, RowStoreError, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {getMoment, type Clock} from '../clock.js';
import {
	getMaxRemainingMs,
	getMinElapsedMs,
	type StoreClockReading,
} from '../rows/store-clock.js';
import {readRange} from '../rows/table-feed.js';
import {decodeRows} from '../rows/decode-rows.js';
import {
	getServiceShard,
	jobSchema,
	parseJobKey,
	parseRangeKey,
	progressSchema,
	rangeSchema,
	reservationsSchema,
	rosterSchema,
	runTimesSchema,
	singleKeys,
	tables,
	type RosterRow,
} from '../rows/tables.js';
import {decodeTombstone} from '../rows/tombstone.js';
import type {HeldShard} from '../shards/held-shard.js';
import {listRosterRows} from './roster-rows.js';

export type LoadOwnerDeps = {
	readonly store: RowStore;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly cfg: scheduler.SchedulerConfig;
	readonly clock: Clock;
};

/** The state of a service that was just taken over. */
export type LoadedOwner = {
	readonly owner: scheduler.Owner;
	/**
	 * Local time at which the last leases expire that holders before the previous
	 * one may have granted, in milliseconds.
	 */
	readonly earlierLeasesEndAt: number;
	/** Version of the job table from which to follow its changes. */
	readonly version: number;
	/** Version of the row that each flush rewrites; 0 if there is none. */
	readonly flushVersion: number;
	/** Version of the row of the reservations; 0 if there is none. */
	readonly reservationsVersion: number;
	readonly storeTime: StoreClockReading;
	/** Rows of the job table, among them tombstones. */
	readonly jobRows: readonly StoredRow[];
	/** Keys of the stored rows of the roster. */
	readonly rosterKeys: readonly string[];
};

type Rows = {
	readonly jobs: readonly StoredRow[];
	readonly progress: readonly StoredRow[];
	readonly ownerRows: readonly StoredRow[];
	readonly version: number;
	readonly storeTime: StoreClockReading;
};

/**
 * Rows per page. A lost connection costs one page, and a page of the largest
 * jobs, with 4,000 bytes of payload each, takes 0.7 s at 7 Mbit/s.
 */
const pageLimit = 100;

const readRows = async (
	{store, clock}: LoadOwnerDeps,
	part: string,
): Promise<Result<Rows, RowStoreError>> => {
	const readTable = async (table: string) =>
		readRange(store, {table, part, limit: pageLimit}, periods.storeTimeoutMs);
	// Sequential reads: concurrent pages share the bandwidth and may time out.
	const jobs = await readTable(tables.job);
	if (!jobs.ok) {
		return jobs;
	}

	const progress = await readTable(tables.progress);
	if (!progress.ok) {
		return progress;
	}

	const sent = getMoment(clock);
	const ownerRows = await readTable(tables.owner);
	if (!ownerRows.ok) {
		return ownerRows;
	}

	return succeed({
		jobs: jobs.value.rows,
		progress: progress.value.rows,
		ownerRows: ownerRows.value.rows,
		version: jobs.value.version,
		storeTime: {nowMs: ownerRows.value.nowMs, sent},
	});
};

/**
 * How long leases granted by the previous holder may last, in milliseconds. A
 * holder that released the shard, or whose process was replaced, grants no
 * more; an unresponsive one may grant leases for another `ownershipTimeoutMs`.
 */
export const getInheritedGrantMs = (
	{previous}: Pick<HeldShard, 'previous'>,
	cfg: scheduler.SchedulerConfig,
): number => {
	const leaseMs = scheduler.getMaxLeaseDurationMs(cfg);
	return previous === 'silent' ? leaseMs + cfg.ownershipTimeoutMs : leaseMs;
};

/**
 * Returns the local time at which the last leases expire that holders before the
 * previous one may have granted, in milliseconds.
 */
const getEarlierLeasesEndAt = (
	{earlierGrantsUntilMs}: HeldShard,
	{storeTime}: Pick<Rows, 'storeTime'>,
	{cfg, clock}: LoadOwnerDeps,
): number =>
	earlierGrantsUntilMs === undefined
		? Number.NEGATIVE_INFINITY
		: clock.now() +
			getMaxRemainingMs(storeTime, earlierGrantsUntilMs) +
			scheduler.getMaxLeaseDurationMs(cfg);

/** Groups the rows of ranges by their job. */
const groupRanges = (
	rows: readonly StoredRow[],
	logger: LoadOwnerDeps['logger'],
): ReadonlyMap<string, readonly scheduler.StoredRange[]> => {
	const ranges = new Map<string, scheduler.StoredRange[]>();
	for (const {row, value} of decodeRows(rows, rangeSchema, logger)) {
		const id = parseRangeKey(row.key)!;
		const known = ranges.get(id) ?? [];
		known.push({version: row.version, progress: value});
		ranges.set(id, known);
	}

	return ranges;
};

const addProgress = (
	owner: scheduler.Owner,
	{progress}: Rows,
	logger: LoadOwnerDeps['logger'],
	now: number,
): void => {
	const isOwnRow = ({key}: StoredRow) => parseRangeKey(key) === undefined;
	const ownRows = progress.filter((row) => isOwnRow(row));
	const own = new Map<string, scheduler.JobProgress>();
	for (const {row, value} of decodeRows(ownRows, progressSchema, logger)) {
		const job = owner.jobs.get(row.key);
		own.set(row.key, value);
		if (job) {
			scheduler.applyProgress(job, value, now);
		}
	}

	const rangeRows = progress.filter((row) => !isOwnRow(row));
	for (const [id, rows] of groupRanges(rangeRows, logger)) {
		const job = owner.jobs.get(id);
		if (job && scheduler.applyRanges(job, rows, own.get(id))) {
			// Also completes a job whose last task is in a row of a range only.
			scheduler.completeIfDone(owner, job, now);
		}
	}

	for (const job of owner.jobs.values()) {
		scheduler.trackSuspectsOfJob(owner, job);
	}
};

/**
 * Adds the jobs. No earlier owner has started tasks of those that were stored
 * after the lease was acquired.
 */
const addJobs = (
	owner: scheduler.Owner,
	held: HeldShard,
	rows: Rows,
	{logger, clock: {now}}: LoadOwnerDeps,
): void => {
	const jobRows = rows.jobs.filter(
		({key, value}) =>
			!parseJobKey(key).isCancel && decodeTombstone(value) === undefined,
	);
	for (const {row, value} of decodeRows(jobRows, jobSchema, logger)) {
		scheduler.addJob(owner, value, row.version <= held.version);
	}

	addProgress(owner, rows, logger, now());

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

/** Earlier releases raised the token by one, and did not store the previous one. */
const getPreviousToken = ({previousToken, token}: HeldShard): number =>
	previousToken ?? token - 1;

/**
 * For how many milliseconds an executor has been suspected, and so was granted
 * no leases; undefined if it may have been granted some. Only a mark by the
 * previous owner counts: a release without marks leaves an older mark in the
 * row and still grants leases.
 */
const getSuspectedMs = (
	{darkSinceMs, markedBy}: Pick<RosterRow, 'darkSinceMs' | 'markedBy'>,
	held: HeldShard,
	{storeTime}: Rows,
): number | undefined =>
	darkSinceMs === undefined || markedBy !== getPreviousToken(held)
		? undefined
		: storeTime.nowMs - darkSinceMs;

const addRoster = (
	owner: scheduler.Owner,
	held: HeldShard,
	rows: Rows,
	deps: LoadOwnerDeps,
): void => {
	const {logger, cfg, clock} = deps;
	const rosters = listRosterRows(rows.ownerRows);
	const now = clock.now();
	const inheritedMs = Math.max(
		getInheritedGrantMs(held, cfg),
		getEarlierLeasesEndAt(held, rows, deps) - now,
	);
	for (const {value} of decodeRows(rosters, rosterSchema, logger)) {
		for (const entry of value) {
			const {
				darkSinceMs,
				markedBy,
				strayLeasesUntilMs,
				unansweredStarts = [],
				...listed
			} = entry;
			const suspectedMs = getSuspectedMs({darkSinceMs, markedBy}, held, rows);
			const remainingMs =
				suspectedMs === undefined
					? inheritedMs
					: Math.min(
							inheritedMs,
							scheduler.getMaxLeaseDurationMs(cfg) - suspectedMs,
						);
			const suspectedSince =
				suspectedMs === undefined ? undefined : now - suspectedMs;
			const strayLeasesUntil =
				strayLeasesUntilMs === undefined
					? undefined
					: now + getMaxRemainingMs(rows.storeTime, strayLeasesUntilMs);
			scheduler.inheritExecutor(owner, listed, now + remainingMs, {
				suspectedSince,
				strayLeasesUntil,
				unansweredStarts: unansweredStarts.map(([taskId, sentAtMs]) => ({
					taskId,
					sentAt: now - getMinElapsedMs(rows.storeTime, sentAtMs),
				})),
			});
		}
	}
};

/** Number of executors that one log line names. */
const maxLoggedExecutors = 5;

/** Without a row that can be read, no reservations are known. */
const addReservations = (
	owner: scheduler.Owner,
	{ownerRows, storeTime}: Rows,
	{logger, clock}: LoadOwnerDeps,
): void => {
	const now = clock.now();
	const stored = ownerRows.filter(({key}) => key === singleKeys.reservations);
	for (const {value} of decodeRows(stored, reservationsSchema, logger)) {
		for (const [id, untilMs] of Object.entries(value)) {
			const remainingMs = getMaxRemainingMs(storeTime, untilMs);
			scheduler.inheritReservation(owner, id, remainingMs, now);
		}
	}

	const ids = [...owner.reservations.keys()];
	if (ids.length > 0) {
		logger.info('reservations inherited', {
			shard: getServiceShard(owner.service),
			count: ids.length,
			executors: ids.slice(0, maxLoggedExecutors),
			longestMs: Math.round(Math.max(...owner.reservations.values()) - now),
		});
	}
};

/** Without a row that can be read, the owner learns run times anew. */
const addRunTimes = (
	owner: scheduler.Owner,
	{ownerRows}: Rows,
	{logger, cfg}: LoadOwnerDeps,
): void => {
	const stored = ownerRows.filter(
		({key}) => cfg.learnsRunTimes && key === singleKeys.runTimes,
	);
	for (const {value} of decodeRows(stored, runTimesSchema, logger)) {
		scheduler.restoreRunTimes(owner.runTimes, value);
	}
};

/**
 * Reads the rows and builds the owner's state. The lease row must have been
 * acquired before: writes of earlier owners check it, so they fail from then.
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
	addRunTimes(owner, rows.value, deps);
	addJobs(owner, held, rows.value, deps);
	addReservations(owner, rows.value, deps);
	addRoster(owner, held, rows.value, deps);
	const getVersion = (wanted: string) =>
		rows.value.ownerRows.find(({key}) => key === wanted)?.version ?? 0;
	return succeed({
		owner,
		earlierLeasesEndAt: getEarlierLeasesEndAt(held, rows.value, deps),
		version: rows.value.version,
		flushVersion: getVersion(singleKeys.flush),
		reservationsVersion: getVersion(singleKeys.reservations),
		storeTime: rows.value.storeTime,
		jobRows: rows.value.jobs,
		rosterKeys: listRosterRows(rows.value.ownerRows).map(({key}) => key),
	});
};

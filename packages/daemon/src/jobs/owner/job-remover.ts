/**
 * Removes the rows of jobs whose retention has ended. A removal rewrites the
 * gates of their queues' homes, so that a submission from before it does not
 * store its job again. Source: docs/design/queue-homes.md.
 */
import {scheduler} from '@gullstand/core';
import type {ChangedRow, RowCheck, RowStore, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {
	getCancelKey,
	getLeaseCheck,
	showsAllChecks,
	tables,
} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';
import {readGateRewrites} from './gate-rewrites.js';

/** Entries of a job in a removal: a check and three rows. */
const entriesPerJob = 4;

/** Queues of one removal, each with a check and a write of its gate. */
const maxQueues = 5;

/** Time between removals, in milliseconds, while one batch removes all due. */
const removalPeriodMs = 5000;

/**
 * Time between removals, in milliseconds, while more is due: 60 jobs a second,
 * twice what the busiest queues submit. Jobs that are kept delay each takeover,
 * which reads them all.
 */
const backlogPeriodMs = 350;

export type JobRemoverDeps = {
	readonly store: RowStore;
	readonly held: HeldShard;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

/** Removes ended jobs of an owner from its memory and from the store. */
export type JobRemover = {
	/** Notes the versions of rows of the job table whose jobs the owner has. */
	readonly note: (owner: scheduler.Owner, rows: readonly ChangedRow[]) => void;
	/**
	 * Does nothing until the current period is over. Returns rows of other jobs
	 * that have the ids of removed ones, for the owner to apply.
	 */
	readonly removeDueJobs: (
		owner: scheduler.Owner,
	) => Promise<readonly StoredRow[]>;
};

export const createJobRemover = (deps: JobRemoverDeps): JobRemover => {
	const {store, held, now, logger} = deps;
	const part = held.shard;
	/** Versions of the rows of the owner's jobs. */
	const versions = new Map<string, number>();
	/** Jobs per transaction, besides the check of the lease and the gates. */
	const removalBatch = Math.floor(
		(store.limits.maxEntries - 1 - 2 * maxQueues) / entriesPerJob,
	);
	let removedAt = now();
	let periodMs = removalPeriodMs;

	const getCheck = (id: string): RowCheck => ({
		table: tables.job,
		part,
		key: id,
		version: versions.get(id) ?? 0,
	});

	const forget = (owner: scheduler.Owner, ids: readonly string[]) => {
		for (const id of ids) {
			owner.jobs.delete(id);
			versions.delete(id);
		}
	};

	/** Lists expired jobs of so few queues that all their gates fit. */
	const listDue = (owner: scheduler.Owner): readonly string[] => {
		const ids = scheduler
			.listExpiredJobs(owner, now(), removalBatch)
			.filter((id) => versions.has(id));
		const getQueue = (id: string) =>
			owner.jobs.get(id)?.accepted.policy.queue ?? '';
		const queues = [...new Set(ids.map((id) => getQueue(id)))];
		const taken = new Set(queues.slice(0, maxQueues));
		return ids.filter((id) => taken.has(getQueue(id)));
	};

	/**
	 * Forgets the jobs that a conflict shows to be removed already, by a try that
	 * had no answer; returns the rows that are in their place.
	 */
	const forgetRemoved = (
		owner: scheduler.Owner,
		ids: readonly string[],
		rows: readonly StoredRow[],
	): readonly StoredRow[] => {
		const jobRows = new Map(
			rows
				.filter(({table, version}) => table === tables.job && version > 0)
				.map((row) => [row.key, row]),
		);
		const removed = ids.filter(
			(id) => jobRows.get(id)?.version !== versions.get(id),
		);
		forget(owner, removed);
		return removed.flatMap((id) => jobRows.get(id) ?? []);
	};

	const removeRows = async (
		owner: scheduler.Owner,
		ids: readonly string[],
	): Promise<readonly StoredRow[]> => {
		const {job, progress} = tables;
		const queues = ids.flatMap(
			(id) => owner.jobs.get(id)?.accepted.policy.queue ?? [],
		);
		const gates = await readGateRewrites(store, [...new Set(queues)]);
		if (!gates) {
			return [];
		}

		const result = await store.transact(
			{
				checks: [
					getLeaseCheck(held),
					...gates.checks,
					...ids.map((id) => getCheck(id)),
				],
				puts: gates.puts,
				removes: ids.flatMap((id) => [
					{table: job, part, key: id},
					{table: job, part, key: getCancelKey(id)},
					{table: progress, part, key: id},
				]),
			},
			periods.storeTimeoutMs,
		);
		logger.info('ended jobs removed', {
			jobs: ids.length,
			outcome: result.ok ? 'done' : result.error.kind,
		});
		if (result.ok) {
			forget(owner, ids);
			return [];
		}

		const {error} = result;
		return error.kind === 'conflict' && showsAllChecks(error.rows)
			? forgetRemoved(owner, ids, error.rows)
			: [];
	};

	return {
		note(owner, rows) {
			for (const {key, value, version} of rows) {
				const isOfJob = value !== undefined && owner.jobs.has(key);
				if (isOfJob && !versions.has(key)) {
					versions.set(key, version);
				}
			}
		},
		async removeDueJobs(owner) {
			if (now() - removedAt < periodMs) {
				return [];
			}

			removedAt = now();
			const ids = listDue(owner);
			periodMs = ids.length < removalBatch ? removalPeriodMs : backlogPeriodMs;
			return ids.length > 0 ? removeRows(owner, ids) : [];
		},
	};
};

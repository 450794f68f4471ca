/**
 * Removes tombstones some time after they were written. A removal rewrites the
 * gates of their queues' homes, so that a submission from before it, which still
 * expects its job to have no row, has no effect either. Source:
 * docs/design/queue-homes.md.
 */
import type {ChangedRow, RowStore, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {getLeaseCheck, showsAllChecks} from '../rows/tables.js';
import {decodeTombstone} from '../rows/tombstone.js';
import type {HeldShard} from '../shards/held-shard.js';
import {readGateRewrites} from './gate-rewrites.js';

export type TombstoneRemoverDeps = {
	readonly store: RowStore;
	readonly held: HeldShard;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

/** Removes the tombstones of a shard. */
export type TombstoneRemover = {
	/** Notes the tombstones among rows of the job table. */
	readonly note: (rows: readonly ChangedRow[]) => void;
	/** Does nothing until the current period is over. */
	readonly removeDue: () => Promise<void>;
};

/** How long callers repeat a submission at most, in milliseconds. */
const keepMs = 30_000;

/** Tombstones that are kept; the oldest ones of more are removed at once. */
const maxKept = 1000;

/** Time between removals, in milliseconds, while one batch removes all due. */
const removalPeriodMs = 2000;

/** Time between removals, in milliseconds, while more is due. */
const backlogPeriodMs = 200;

/** Queues of one removal, each with a check and a write of its gate. */
const maxQueues = 5;

/** Entries of one tombstone: a check and a removal. */
const entriesPerTombstone = 2;

type NotedTombstone = {
	readonly row: StoredRow;
	readonly queue: string;
	readonly notedAt: number;
};

export const createTombstoneRemover = ({
	store,
	held,
	now,
	logger,
}: TombstoneRemoverDeps): TombstoneRemover => {
	/** By job id, the oldest first. */
	const noted = new Map<string, NotedTombstone>();
	let removedAt = now();
	let periodMs = removalPeriodMs;

	/** Entries beside the check of the lease and the gates. */
	const batchSize = Math.floor(
		(store.limits.maxEntries - 1 - 2 * maxQueues) / entriesPerTombstone,
	);

	const listDue = (): readonly NotedTombstone[] => {
		const all = [...noted.values()];
		const excess = all.length - maxKept;
		const due = all.filter(
			({notedAt}, index) => index < excess || now() - notedAt >= keepMs,
		);
		const queues = new Set(due.map(({queue}) => queue));
		const taken = new Set([...queues].slice(0, maxQueues));
		return due.filter(({queue}) => taken.has(queue)).slice(0, batchSize);
	};

	/** Forgets the tombstones that a conflict shows not to be there any more. */
	const forgetChanged = (
		batch: readonly NotedTombstone[],
		rows: readonly StoredRow[],
	) => {
		for (const {row} of batch) {
			const current = rows.find(
				({table, key}) => table === row.table && key === row.key,
			);
			if (current?.version !== row.version) {
				noted.delete(row.key);
			}
		}
	};

	const remove = async (batch: readonly NotedTombstone[]) => {
		const queues = new Set(batch.map(({queue}) => queue));
		const gates = await readGateRewrites(store, [...queues]);
		if (!gates) {
			return;
		}

		const result = await store.transact(
			{
				checks: [
					getLeaseCheck(held),
					...gates.checks,
					...batch.map(({row: {table, part, key, version}}) => ({
						table,
						part,
						key,
						version,
					})),
				],
				puts: gates.puts,
				removes: batch.map(({row: {table, part, key}}) => ({
					table,
					part,
					key,
				})),
			},
			periods.storeTimeoutMs,
		);
		logger.info('tombstones removed', {
			jobs: batch.length,
			kept: noted.size - batch.length,
			outcome: result.ok ? 'done' : result.error.kind,
		});
		if (result.ok) {
			for (const {row} of batch) {
				noted.delete(row.key);
			}

			return;
		}

		const {error} = result;
		if (error.kind === 'conflict' && showsAllChecks(error.rows)) {
			forgetChanged(batch, error.rows);
		}
	};

	return {
		note(rows) {
			for (const {table, part, key, value, version} of rows) {
				const tombstone =
					value === undefined ? undefined : decodeTombstone(value);
				if (tombstone && value !== undefined && !noted.has(key)) {
					noted.set(key, {
						row: {table, part, key, value, version},
						queue: tombstone.queue,
						notedAt: now(),
					});
				}
			}
		},
		async removeDue() {
			if (now() - removedAt < periodMs) {
				return;
			}

			removedAt = now();
			const batch = listDue();
			periodMs = batch.length < batchSize ? removalPeriodMs : backlogPeriodMs;
			if (batch.length > 0) {
				await remove(batch);
			}
		},
	};
};

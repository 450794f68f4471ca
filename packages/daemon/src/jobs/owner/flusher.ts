/**
 * Stores the progress of a service's jobs. Each flush checks the lease row, so
 * that a deposed owner stores nothing, and rewrites a row of its own that the
 * next one checks, so that a flush carried out late changes nothing.
 */
import {scheduler} from '@gullstand/core';
import type {RowStore, RowTransaction, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {delay, getMoment, type Clock} from '../clock.js';
import {periods} from '../periods.js';
import {getLatestStoreMs, type StoreTime} from '../rows/store-time.js';
import {
	getLeaseCheck,
	singleKeys,
	tables,
	type RosterRow,
} from '../rows/tables.js';
import {isWithinSize} from '../rows/transaction-size.js';
import type {HeldShard} from '../shards/held-shard.js';

/** Most jobs in one flush; origin: 100 entries a transaction, checks too. */
const maxJobsPerFlush = 90;

/** What a flusher needs. */
export type FlusherDeps = {
	readonly store: RowStore;
	readonly owner: scheduler.Owner;
	readonly held: HeldShard;
	readonly flushVersion: number;
	readonly clock: Clock;
	/** What the store's clock showed at the takeover. */
	readonly storeTime: StoreTime;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Executors to which new ends are to be acknowledged. */
	readonly onAckable: (executors: readonly scheduler.Executor[]) => void;
	readonly onStored: (flush: scheduler.Flush) => void;
	readonly onOwnershipLost: (
		reason: string,
		rows: readonly StoredRow[],
	) => void;
};

/** The flusher of one ownership. */
export type Flusher = {
	/** Notes that something may be to store. */
	readonly requestFlush: () => void;
	readonly stop: () => void;
	/** Flushes until nothing is left or the store refuses. */
	readonly drain: () => Promise<void>;
};

const isUrgent = ({dirty, isRosterDirty}: scheduler.Owner): boolean =>
	isRosterDirty || [...dirty].some(({end}) => end !== undefined);

/** Creates a flusher. */
export const createFlusher = (deps: FlusherDeps): Flusher => {
	const {store, owner, held, logger, clock} = deps;
	const part = held.shard;
	const flushKey = {table: tables.owner, part, key: singleKeys.flush};
	let {flushVersion, storeTime} = deps;
	let running: Promise<void> | undefined;
	let timer: NodeJS.Timeout | undefined;
	const state = {isStopped: false, isDraining: false};

	const toRosterRow = ({
		listed,
		darkSince,
	}: scheduler.RosterEntry): RosterRow =>
		darkSince === undefined
			? listed
			: {
					...listed,
					darkSinceMs: getLatestStoreMs(clock, storeTime, darkSince),
					markedBy: owner.token,
				};

	const toTransaction = (flush: scheduler.Flush): RowTransaction => {
		const puts = flush.jobs.map(({job, progress}) => ({
			table: tables.progress,
			part,
			key: job.accepted.id,
			value: JSON.stringify(progress),
		}));
		const roster = flush.roster && {
			table: tables.owner,
			part,
			key: singleKeys.roster,
			value: JSON.stringify(flush.roster.map((each) => toRosterRow(each))),
		};
		return {
			checks: [getLeaseCheck(held), {...flushKey, version: flushVersion}],
			puts: [
				{...flushKey, value: String(flush.number)},
				...puts,
				...(roster ? [roster] : []),
			],
			removes: [],
		};
	};

	/** True if an earlier flush of ours was carried out after all. */
	const takeConflict = (rows: readonly StoredRow[]): boolean => {
		const lease = rows.find(({table}) => table === tables.lease);
		if (lease?.version !== held.version) {
			deps.onOwnershipLost('the lease row has changed', rows);
			return false;
		}

		const flush = rows.find(({table}) => table === tables.owner);
		flushVersion = flush?.version ?? 0;
		return true;
	};

	/** Takes as many jobs as one transaction holds; a job that is large, alone. */
	const beginFlush = () => {
		let flush = scheduler.beginFlush(owner, maxJobsPerFlush);
		let transaction = toTransaction(flush);
		while (flush.jobs.length > 1 && !isWithinSize(transaction)) {
			scheduler.abandonFlush(owner, flush);
			const half = Math.floor(flush.jobs.length / 2);
			flush = scheduler.beginFlush(owner, half);
			transaction = toTransaction(flush);
		}

		return {flush, transaction};
	};

	const flushOnce = async (): Promise<boolean> => {
		const {flush, transaction} = beginFlush();
		const sent = getMoment(clock);
		const result = await store.transact(transaction, periods.storeTimeoutMs);
		if (result.ok) {
			flushVersion = result.value.version;
			storeTime = {nowMs: result.value.nowMs, sent};
			deps.onAckable(scheduler.completeFlush(owner, flush));
			deps.onStored(flush);
			return true;
		}

		scheduler.abandonFlush(owner, flush);
		logger.warn('progress not stored', {
			shard: part,
			flush: flush.number,
			jobs: flush.jobs.length,
			reason: result.error.kind,
		});
		if (result.error.kind === 'conflict') {
			return takeConflict(result.error.rows);
		}

		await delay(periods.flushRetryMs);
		return false;
	};

	const run = async () => {
		while (!state.isStopped && scheduler.needsFlush(owner)) {
			await flushOnce();
		}
	};

	const runThenPoke = async () => {
		try {
			await run();
		} finally {
			running = undefined;
		}

		poke();
	};

	const begin = () => {
		timer = undefined;
		running ??= runThenPoke();
	};

	const poke = () => {
		if (state.isStopped || state.isDraining || running) {
			return;
		}

		if (!scheduler.needsFlush(owner)) {
			deps.onAckable(scheduler.acknowledgeIdle(owner));
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
		requestFlush: poke,
		stop() {
			state.isStopped = true;
			clearTimeout(timer);
		},
		async drain() {
			// A flush beside this one, or an acknowledgement, would take ends for
			// stored that are still on their way.
			state.isDraining = true;
			clearTimeout(timer);
			await running;
			// The next owner need not wait anew for those that have not answered.
			scheduler.markDark(owner, 0, clock.now());
			while (!state.isStopped && scheduler.needsFlush(owner)) {
				if (!(await flushOnce())) {
					return;
				}
			}
		},
	};
};

/**
 * Writes rows of keys by group commit. Writes that come between two sends, or
 * while all commits allowed at once are out, share the next transaction.
 */
import * as core from '@gullstand/core';
import type {Result} from '@gullstand/core';
import type {
	Committed,
	JsonValue,
	Row,
	StoreError,
	TableService,
} from '@gullstand/ports';
import type {Clock, Randomness} from './ports.js';

type KeyRow = core.idempotency.KeyRow;
type When = core.idempotency.Precondition;
type WriteResult = core.idempotency.WriteResult;

/** Table of the rows. */
export const tableName = 'idempotency';

/** How writes are grouped. */
export type GroupSettings = core.idempotency.GroupLimits & {
	/**
	 * Least time between two sends. A write that a caller waits for goes at
	 * once if none went within it, so that few requests have no added delay
	 * and many cost the store no more than one send in this time.
	 */
	readonly spacingMs: number;
	/** How long a write that no caller waits for is held for others. */
	readonly windowMs: number;
	/** Transactions that are out at once. */
	readonly maxCommits: number;
};

/** Settings where the operator gives none. */
export const defaultGroupSettings: GroupSettings = {
	maxRows: 50,
	maxBytes: 262_144,
	spacingMs: 25,
	windowMs: 100,
	maxCommits: 4,
};

/** What the writer is made of. */
export type GroupWriterOptions = {
	readonly tables: TableService;
	readonly clock: Clock;
	readonly randomness: Randomness;
	readonly settings: GroupSettings;
};

/** One write of a row. */
export type RowWrite = {
	readonly key: string;
	readonly row: KeyRow;
	readonly when: When;
	readonly isUrgent: boolean;
	readonly onEnd: (result: WriteResult) => void;
};

/** Writes rows; each write's end is told once. */
export type GroupWriter = {
	/** Queues a write; the result takes it back if it was not yet sent. */
	readonly write: (write: RowWrite) => () => boolean;
	/** Transactions sent so far. */
	readonly getCommitCount: () => number;
};

type Entry = RowWrite & core.idempotency.GroupEntry;

type State = {
	queue: Entry[];
	commitsOut: number;
	commitCount: number;
	lastSentAt: number;
	/** When the queue is sent next, and how to cancel that. */
	wake: {readonly at: number; readonly cancel: () => void} | undefined;
};

const toStored = (row: Row): core.idempotency.StoredRow => ({
	version: row.version,
	row: core.idempotency.parseRow(row.value),
});

/** A row as the core reads it. */
export const readStored = (
	row: Row | undefined,
): core.idempotency.StoredRow | undefined =>
	row === undefined ? undefined : toStored(row);

const endAll = (entries: readonly Entry[], result: WriteResult) => {
	for (const entry of entries) {
		entry.onEnd(result);
	}
};

/** Makes a writer over a table service. */
export const createGroupWriter = (options: GroupWriterOptions): GroupWriter => {
	const {tables, clock, randomness, settings} = options;
	const state: State = {
		queue: [],
		commitsOut: 0,
		commitCount: 0,
		lastSentAt: Number.NEGATIVE_INFINITY,
		wake: undefined,
	};

	const commit = async (
		entries: readonly Entry[],
	): Promise<Result<Committed, StoreError>> => {
		state.commitCount++;
		const writes = entries.map(({key, row, when}) => ({
			kind: 'put' as const,
			table: tableName,
			key,
			value: row satisfies JsonValue,
			when,
		}));
		try {
			return await tables.commit(writes, randomness.createId());
		} catch {
			return core.fail({kind: 'timeout'});
		}
	};

	const commitGroups = async (
		groups: ReadonlyArray<readonly Entry[]>,
		conflicts: number,
	) => {
		await Promise.all(
			groups.map(async (group) => commitGroup(group, conflicts)),
		);
	};

	/** Commits a group until each of its writes has its own end. */
	const commitGroup = async (
		entries: readonly Entry[],
		conflicts: number,
	): Promise<void> => {
		const result = await commit(entries);
		if (result.ok) {
			for (const [index, entry] of entries.entries()) {
				const version = result.value.versions[index];
				entry.onEnd(
					version === undefined ? {kind: 'lost'} : {kind: 'committed', version},
				);
			}

			return;
		}

		const {error} = result;
		switch (error.kind) {
			case 'conflict': {
				const current = readStored(error.current);
				const loser = entries.find((entry) => entry.key === error.key);
				loser?.onEnd({kind: 'conflict', current});
				await commitGroups(
					core.idempotency.regroupAfterConflict(entries, error.key, conflicts),
					conflicts + 1,
				);
				break;
			}

			case 'too-large': {
				const groups = core.idempotency.regroupAfterTooLarge(entries);
				if (groups.length === 0) {
					endAll(entries, {kind: 'refused'});
				}

				await commitGroups(groups, conflicts);
				break;
			}

			case 'unavailable': {
				endAll(entries, {kind: 'refused'});
				break;
			}

			case 'timeout': {
				endAll(entries, {kind: 'lost'});
				break;
			}
		}
	};

	const send = async (entries: readonly Entry[]) => {
		state.commitsOut++;
		await commitGroup(entries, 0);
		state.commitsOut--;
		if (state.queue.length > 0) {
			wakeAfter(0);
		}
	};

	const sendQueue = () => {
		state.wake?.cancel();
		state.wake = undefined;
		state.lastSentAt = clock.getTime().now;
		while (state.queue.length > 0 && state.commitsOut < settings.maxCommits) {
			const {selected, remaining} = core.idempotency.selectGroup(
				state.queue,
				settings,
			);
			state.queue = [...remaining];
			void send(selected);
		}
	};

	/** Sends the queue after a delay, and not before the spacing allows. */
	const wakeAfter = (delayMs: number) => {
		const at = Math.max(
			clock.getTime().now + delayMs,
			state.lastSentAt + settings.spacingMs,
		);
		if (state.wake !== undefined && state.wake.at <= at) {
			return;
		}

		state.wake?.cancel();
		state.wake = {at, cancel: clock.callAt(at, sendQueue)};
	};

	const withdraw = (entry: Entry): boolean => {
		const isQueued = state.queue.includes(entry);
		state.queue = state.queue.filter((each) => each !== entry);
		return isQueued;
	};

	const write = (rowWrite: RowWrite) => {
		const bytes = JSON.stringify(rowWrite.row).length;
		const entry: Entry = {...rowWrite, bytes};
		state.queue.push(entry);
		wakeAfter(rowWrite.isUrgent ? 0 : settings.windowMs);
		return () => withdraw(entry);
	};

	return {write, getCommitCount: () => state.commitCount};
};

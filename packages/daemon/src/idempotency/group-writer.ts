/**
 * Writes idempotency rows by group commit. Writes that arrive between two
 * commits, or while the maximum of commits is in flight, share the next
 * transaction.
 */
import * as core from '@gullstand/core';
import type {Result} from '@gullstand/core';
import type {
	CommitResult,
	JsonValue,
	Row,
	StoreError,
	TableService,
} from '@gullstand/ports';
import type {Clock, Randomness} from './ports.js';

type KeyRow = core.idempotency.KeyRow;
type When = core.idempotency.Precondition;
type WriteResult = core.idempotency.WriteResult;

/** Table of idempotency rows. */
export const idempotencyTable = 'idempotency';

/** How writes are grouped. */
export type GroupSettings = core.idempotency.GroupLimits & {
	/**
	 * Minimum time between two commits, in milliseconds. An urgent write is sent
	 * immediately if no commit started within this time, so that a low request
	 * rate has no added delay and a high one does not overload the store.
	 */
	readonly spacingMs: number;
	/** How long a write that is not urgent waits to be grouped. */
	readonly windowMs: number;
	/** Maximum number of transactions in flight. */
	readonly maxCommits: number;
};

/** Settings used if the operator sets none. */
export const defaultGroupSettings: GroupSettings = {
	maxRows: 50,
	maxBytes: 262_144,
	spacingMs: 25,
	windowMs: 100,
	maxCommits: 4,
};

/** Options of the group writer. */
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
	/** True if a caller waits for the write. */
	readonly isUrgent: boolean;
	readonly onEnd: (result: WriteResult) => void;
};

/** Writes rows; calls `onEnd` once for each write. */
export type GroupWriter = {
	/** Queues a write; the returned function cancels it if it was not sent. */
	readonly write: (write: RowWrite) => () => boolean;
	/** Number of transactions sent. */
	readonly getCommitCount: () => number;
};

type Entry = RowWrite & core.idempotency.GroupEntry;

type State = {
	queue: Entry[];
	commitsInFlight: number;
	commitCount: number;
	lastSentAt: number;
	/** When the queue is sent next, and how to cancel the timer. */
	timer: {readonly at: number; readonly cancel: () => void} | undefined;
};

const toStored = (row: Row): core.idempotency.StoredRow => ({
	version: row.version,
	row: core.idempotency.parseRow(row.value),
});

/** Converts a row to the core's form. */
export const readStored = (
	row: Row | undefined,
): core.idempotency.StoredRow | undefined =>
	row === undefined ? undefined : toStored(row);

const completeAll = (entries: readonly Entry[], result: WriteResult) => {
	for (const entry of entries) {
		entry.onEnd(result);
	}
};

export const createGroupWriter = (options: GroupWriterOptions): GroupWriter => {
	const {tables, clock, randomness, settings} = options;
	const state: State = {
		queue: [],
		commitsInFlight: 0,
		commitCount: 0,
		lastSentAt: Number.NEGATIVE_INFINITY,
		timer: undefined,
	};

	const commit = async (
		entries: readonly Entry[],
	): Promise<Result<CommitResult, StoreError>> => {
		state.commitCount++;
		const writes = entries.map(({key, row, when}) => ({
			kind: 'put' as const,
			table: idempotencyTable,
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

	/** Commits a group, with regrouping until each write has its result. */
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
				const conflicting = entries.find((entry) => entry.key === error.key);
				conflicting?.onEnd({kind: 'conflict', current});
				await commitGroups(
					core.idempotency.regroupAfterConflict(entries, error.key, conflicts),
					conflicts + 1,
				);
				break;
			}

			case 'too-large': {
				const groups = core.idempotency.regroupAfterTooLarge(entries);
				if (groups.length === 0) {
					completeAll(entries, {kind: 'refused'});
				}

				await commitGroups(groups, conflicts);
				break;
			}

			case 'unavailable': {
				completeAll(entries, {kind: 'refused'});
				break;
			}

			case 'timeout': {
				completeAll(entries, {kind: 'lost'});
				break;
			}
		}
	};

	const send = async (entries: readonly Entry[]) => {
		state.commitsInFlight++;
		await commitGroup(entries, 0);
		state.commitsInFlight--;
		if (state.queue.length > 0) {
			scheduleSend(0);
		}
	};

	const sendQueue = () => {
		state.timer?.cancel();
		state.timer = undefined;
		state.lastSentAt = clock.getTime().now;
		while (
			state.queue.length > 0 &&
			state.commitsInFlight < settings.maxCommits
		) {
			const {selected, remaining} = core.idempotency.selectGroup(
				state.queue,
				settings,
			);
			state.queue = [...remaining];
			void send(selected);
		}
	};

	/** Schedules the queue after a delay, no earlier than the spacing allows. */
	const scheduleSend = (delayMs: number) => {
		const at = Math.max(
			clock.getTime().now + delayMs,
			state.lastSentAt + settings.spacingMs,
		);
		if (state.timer !== undefined && state.timer.at <= at) {
			return;
		}

		state.timer?.cancel();
		state.timer = {at, cancel: clock.callAt(at, sendQueue)};
	};

	const cancelWrite = (entry: Entry): boolean => {
		const isQueued = state.queue.includes(entry);
		state.queue = state.queue.filter((each) => each !== entry);
		return isQueued;
	};

	const write = (rowWrite: RowWrite) => {
		const bytes = JSON.stringify(rowWrite.row).length;
		const entry: Entry = {...rowWrite, bytes};
		state.queue.push(entry);
		scheduleSend(rowWrite.isUrgent ? 0 : settings.windowMs);
		return () => cancelWrite(entry);
	};

	return {write, getCommitCount: () => state.commitCount};
};

/**
 * Writes an owner's roster, as many rows at a time as a transaction has room
 * for. Knows which rows are stored, and which executors they contain. Of a
 * roster that the store refuses, it finds the executors that are the cause and
 * leaves them out for a while, so that the others can be used.
 */
import type {scheduler} from '@gullstand/core';
import type {RowLimits, RowTransaction} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {RosterRow} from '../rows/tables.js';
import {
	encodeRoster,
	isRosterKey,
	planRosterWrites,
	type RosterWrites,
} from './roster-rows.js';

/** Entries of a transaction that the roster takes at most. */
export const maxRosterWrites = 16;

/** Characters of an id that a log line names. */
const maxLoggedId = 200;

/** Part of the bytes of a transaction that the roster takes at most. */
const rosterShare = 0.5;

export type RosterWriterDeps = {
	/** Partition of the rows. */
	readonly part: string;
	/** Keys of the rows that an earlier owner has stored. */
	readonly storedKeys: readonly string[];
	/** Executors of these rows. */
	readonly storedIds: Iterable<string>;
	readonly limits: RowLimits;
	/** Fencing token of the owner's lease. */
	readonly token: number;
	/** Converts a time of the local clock to the latest of the store's clock. */
	readonly toStoreMs: (at: number) => number;
	readonly logger: Pick<Logger, 'warn'>;
};

/** Writes of one transaction. */
export type RosterStep = RosterWrites & {
	/** Entries that are stored once the transaction is. */
	readonly entries: readonly scheduler.RosterEntry[];
	/** Executors that no row can hold, which must not be used. */
	readonly leftOut: readonly string[];
	/** Executors that no stored row has contained so far. */
	readonly added: readonly string[];
};

/** What follows from a refusal of the roster alone. */
export type RosterRefusal =
	/** A smaller part of it is to be written next. */
	| {readonly kind: 'narrowed'}
	/** The others can be written without this executor. */
	| {readonly kind: 'set-aside'; readonly executor: string}
	/** No executor is the cause. */
	| {readonly kind: 'unexplained'};

export type RosterWriter = {
	/** Bytes that the writes of one transaction have at most. */
	readonly maxBytes: number;
	readonly plan: (roster: readonly scheduler.RosterEntry[]) => RosterStep;
	/** Records a transaction that was stored, with its part of the roster. */
	readonly record: (
		transaction: RowTransaction,
		step: RosterStep | undefined,
	) => void;
	/**
	 * Forgets the rows that a transaction which failed may have changed; with the
	 * part of the roster that may be stored, if any.
	 */
	readonly forget: (
		transaction: RowTransaction,
		step: RosterStep | undefined,
	) => void;
	/** Records that the store has refused a part of the roster for good. */
	readonly recordRefusal: (step: RosterStep) => RosterRefusal;
	/** Lets the executors that were set aside be written again. */
	readonly retrySetAside: () => void;
};

/** A time by the local clock, and as it was first written. */
type Mark = {readonly at: number; readonly storeMs: number};

export const createRosterWriter = (deps: RosterWriterDeps): RosterWriter => {
	const {part, limits, token, logger} = deps;
	/** Values of the stored rows; one that is not known is undefined. */
	const stored = new Map<string, string | undefined>(
		deps.storedKeys.map((key) => [key, undefined]),
	);
	/** Marks by kind and executor, so that a row is encoded the same each time. */
	let marks = new Map<string, Mark>();
	let loggedLeftOut = new Set<string>();
	/** Executors that stored rows may contain, so that none may lack them. */
	let mayBeStored = new Set(deps.storedIds);
	/** Executors that the store refuses. */
	const setAside = new Set<string>();
	/** Executors that the next part of the roster may add. */
	let maxAdded = Number.POSITIVE_INFINITY;

	const getMark = (key: string, at: number): Mark => {
		const known = marks.get(key);
		return known?.at === at ? known : {at, storeMs: deps.toStoreMs(at)};
	};

	const toRows = (
		roster: readonly scheduler.RosterEntry[],
	): readonly RosterRow[] => {
		const used = new Map<string, Mark>();
		const toStoreMs = (key: string, at: number): number => {
			const mark = getMark(key, at);
			used.set(key, mark);
			return mark.storeMs;
		};

		const rows = roster.map(
			({
				listed,
				suspectedSince,
				strayLeasesUntil,
				unansweredStarts,
			}): RosterRow => ({
				...listed,
				...(suspectedSince === undefined
					? {}
					: {
							darkSinceMs: toStoreMs(`dark ${listed.id}`, suspectedSince),
							markedBy: token,
						}),
				...(strayLeasesUntil === undefined
					? {}
					: {
							strayLeasesUntilMs: toStoreMs(
								`stray ${listed.id}`,
								strayLeasesUntil,
							),
						}),
				...(unansweredStarts.length === 0
					? {}
					: {
							unansweredStarts: unansweredStarts.map(
								({taskId, sentAt}) =>
									[
										taskId,
										toStoreMs(`start ${listed.id} ${taskId}`, sentAt),
									] as const,
							),
						}),
			}),
		);
		marks = used;
		return rows;
	};

	const logLeftOut = (ids: readonly string[]) => {
		for (const id of ids) {
			if (!loggedLeftOut.has(id)) {
				logger.warn('executor not used: too large for the roster', {
					shard: part,
					executor: id.slice(0, maxLoggedId),
				});
			}
		}

		loggedLeftOut = new Set(ids);
	};

	const noteStored = (step: RosterStep | undefined) => {
		for (const {listed} of step?.entries ?? []) {
			mayBeStored.add(listed.id);
		}
	};

	const maxBytes = Math.max(
		limits.safeValueBytes,
		limits.maxTransactionBytes * rosterShare,
	);

	return {
		maxBytes,
		plan(roster) {
			const added = roster
				.map(({listed}) => listed.id)
				.filter((id) => !mayBeStored.has(id) && !setAside.has(id));
			const included = new Set(added.slice(0, maxAdded));
			const chosen = roster.filter(
				({listed: {id}}) => mayBeStored.has(id) || included.has(id),
			);
			const encoded = encodeRoster(toRows(chosen), limits.safeValueBytes);
			logLeftOut(encoded.leftOut);
			const writes = planRosterWrites(part, stored, encoded, {
				entries: maxRosterWrites,
				bytes: maxBytes,
			});
			const written = new Set(writes.puts.map(({key}) => key));
			const ids = new Set(
				[...encoded.rows].flatMap(([key, row]) =>
					written.has(key) || stored.get(key) === row.value ? row.ids : [],
				),
			);
			return {
				...writes,
				isComplete: writes.isComplete && included.size === added.length,
				entries: chosen.filter(({listed}) => ids.has(listed.id)),
				leftOut: encoded.leftOut,
				added: [...included],
			};
		},
		record({puts, removes}, step) {
			maxAdded *= step ? 2 : 1;
			if (step?.isComplete) {
				mayBeStored = new Set();
			}

			noteStored(step);
			for (const {key, value} of puts) {
				if (isRosterKey(key)) {
					stored.set(key, value);
				}
			}

			for (const {key} of removes) {
				stored.delete(key);
			}
		},
		forget({puts, removes}, step) {
			noteStored(step);
			for (const {key} of [...puts, ...removes]) {
				if (isRosterKey(key)) {
					stored.set(key, undefined);
				}
			}
		},
		recordRefusal({added}) {
			const [first] = added;
			if (first === undefined) {
				return {kind: 'unexplained'};
			}

			if (added.length > 1) {
				maxAdded = Math.ceil(added.length / 2);
				return {kind: 'narrowed'};
			}

			setAside.add(first);
			return {kind: 'set-aside', executor: first};
		},
		retrySetAside() {
			setAside.clear();
		},
	};
};

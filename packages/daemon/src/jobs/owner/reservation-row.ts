/**
 * Stores the reservations of an owner's executors in a row of their own. Each
 * write checks the lease row and the version of the row itself, so that neither
 * an owner that was replaced nor a delayed write of this one changes it.
 */
import {scheduler} from '@gullstand/core';
import type {RowStore, StoredRow} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {getMaxElapsedMs, getMoment, type Clock, type Moment} from '../clock.js';
import {coalesceCalls} from '../coalesce-calls.js';
import {periods} from '../periods.js';
import {getLatestStoreMs, type StoreClockReading} from '../rows/store-clock.js';
import {describeStoreError} from '../rows/store-error.js';
import {getLeaseCheck, singleKeys, tables} from '../rows/tables.js';
import {getValueBytes} from '../rows/transaction-size.js';
import type {HeldShard} from '../shards/held-shard.js';

export type ReservationRowDeps = {
	readonly store: Pick<RowStore, 'transact' | 'limits'>;
	readonly owner: scheduler.Owner;
	readonly held: HeldShard;
	/** Version of the row at the takeover; 0 if there was none. */
	readonly version: number;
	readonly clock: Clock;
	/** A recent reading of the store's clock. */
	readonly getStoreTime: () => StoreClockReading;
	readonly logger: Pick<Logger, 'warn'>;
	/** Called when another daemon holds the lease; `rows` are the current ones. */
	readonly onOwnershipLost: (
		reason: string,
		rows: readonly StoredRow[],
	) => void;
};

/** A reservation as this owner has stored it. */
export type StoredReservation = {
	/** For how long it may be promised from now, in milliseconds; may be 0. */
	readonly promisedMs: number;
	/** Its end by the store's clock. */
	readonly untilMs: number;
};

/** The stored reservations of one ownership. */
export type ReservationRow = {
	/** Writes all reservations; concurrent calls share a transaction. */
	readonly store: () => Promise<void>;
	/** Returns the reservation of an executor if this owner has stored it. */
	readonly get: (executorId: string) => StoredReservation | undefined;
};

type Entry = {
	readonly sent: Moment;
	readonly reservedMs: number;
	readonly untilMs: number;
};

/** The second try follows a conflict with a delayed write of this owner. */
const maxTries = 2;

export const createReservationRow = (
	deps: ReservationRowDeps,
): ReservationRow => {
	const {store, owner, held, clock, logger} = deps;
	const part = held.shard;
	const rowKey = {table: tables.owner, part, key: singleKeys.reservations};
	let {version} = deps;
	let stored: ReadonlyMap<string, Entry> = new Map();
	/** The store took these in one row. */
	const inherited = new Set(owner.reservations.keys());

	/**
	 * Takes the earliest reservations that one row holds: those of an earlier
	 * owner, then those that were stored before. The others are not promised.
	 */
	const encodeReservations = (sent: Moment): ReadonlyMap<string, Entry> => {
		const storeTime = deps.getStoreTime();
		const entries = new Map<string, Entry>();
		let bytes = 0;
		for (const [id, until] of owner.reservations) {
			const untilMs = Math.ceil(getLatestStoreMs(clock, storeTime, until));
			bytes += getValueBytes(JSON.stringify({[id]: untilMs}));
			if (bytes > store.limits.safeValueBytes && !inherited.has(id)) {
				break;
			}

			entries.set(id, {sent, reservedMs: until - sent.at, untilMs});
		}

		return entries;
	};

	/** Returns whether the conflict came from a delayed write of this owner. */
	const resolveConflict = (rows: readonly StoredRow[]): boolean => {
		const lease = rows.find(({table}) => table === tables.lease);
		if (lease?.version !== held.version) {
			deps.onOwnershipLost('the lease row has changed', rows);
			return false;
		}

		version = rows.find(({table}) => table === tables.owner)?.version ?? 0;
		return true;
	};

	/** Returns whether the write is to be tried again. */
	const write = async (): Promise<boolean> => {
		scheduler.expireReservations(owner, clock.now());
		const entries = encodeReservations(getMoment(clock));
		// What this write leaves out may not be stored any more from here on.
		stored = new Map([...stored].filter(([id]) => entries.has(id)));
		const ends = [...entries].map(([id, {untilMs}]) => [id, untilMs] as const);
		const result = await store.transact(
			{
				checks: [getLeaseCheck(held), {...rowKey, version}],
				puts: [{...rowKey, value: JSON.stringify(Object.fromEntries(ends))}],
				removes: [],
			},
			periods.storeTimeoutMs,
		);
		if (result.ok) {
			version = result.value.version;
			stored = entries;
			return false;
		}

		logger.warn('reservations not stored', {
			shard: part,
			executors: entries.size,
			...describeStoreError(result.error),
		});
		return (
			result.error.kind === 'conflict' && resolveConflict(result.error.rows)
		);
	};

	return {
		store: coalesceCalls(async () => {
			let tries = 1;
			while ((await write()) && tries < maxTries) {
				tries += 1;
			}
		}),
		get(executorId) {
			const entry = stored.get(executorId);
			if (!entry || !owner.reservations.has(executorId)) {
				return undefined;
			}

			const {sent, reservedMs, untilMs} = entry;
			const elapsedMs = getMaxElapsedMs(clock, sent);
			return {
				promisedMs: scheduler.getPromisedMs(reservedMs, elapsedMs),
				untilMs,
			};
		},
	};
};

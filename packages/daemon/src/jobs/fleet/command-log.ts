/**
 * Stores when each machine last got a command, for the next holder of the
 * fleet's shard: two holders may not command one machine within the turnover
 * time. Times are of the store's steady clock.
 */
import type {RowStore, StoredRow} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {getMoment, type Clock} from '../clock.js';
import {periods} from '../periods.js';
import {
	getLatestStoreMs,
	getMaxRemainingMs,
	pickLatestStoreReading,
	type StoreClockReading,
} from '../rows/store-clock.js';
import {describeStoreError} from '../rows/store-error.js';
import {getValueBytes} from '../rows/transaction-size.js';
import {decodeRow, fleetShard, getLeaseCheck, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

export type CommandLog = {
	/**
	 * Reads the log of the previous holder; resolves to false without an answer.
	 */
	readonly load: () => Promise<boolean>;
	/** Lists the first machines whose commands can be recorded now. */
	readonly listFitting: (machines: readonly string[]) => readonly string[];
	/**
	 * Records commands for machines; resolves to whether they were stored. Only
	 * then may the commands be sent.
	 */
	readonly record: (machines: readonly string[]) => Promise<boolean>;
	/** Whether the turnover time after the previous holder's command is over. */
	readonly mayCommand: (machine: string) => boolean;
};

export type CommandLogDeps = {
	readonly store: RowStore;
	readonly held: HeldShard;
	readonly clock: Clock;
	/** Returns the latest reading of the store's clock by other calls. */
	readonly getStoreTime: () => StoreClockReading | undefined;
	readonly turnoverMs: number;
	readonly logger: Pick<Logger, 'warn'>;
	readonly onLost: () => void;
};

const logKey = 'orders';

const rowKey = {table: tables.owner, part: fleetShard, key: logKey} as const;

const logSchema = z.record(z.string(), z.number());

const encodeCommands = (commands: ReadonlyMap<string, number>): string =>
	JSON.stringify(Object.fromEntries(commands));

/** Maximum time from recording a command to its arrival, in milliseconds. */
const transitMs = 300;

/** The second try follows a conflict with a delayed write of this holder. */
const maxTries = 2;

export const createCommandLog = (deps: CommandLogDeps): CommandLog => {
	const {store, held, clock, turnoverMs, logger} = deps;
	const lastCommands = new Map<string, number>();
	/**
	 * Local time from which a machine of the previous holder may get commands.
	 */
	const freeAt = new Map<string, number>();
	/** Version of the row; 0 if there is none. */
	let version = 0;
	let storeTime: StoreClockReading | undefined;

	/** Upper bound of the store's clock; 0 before the log was read. */
	const getStoreNow = (): number =>
		storeTime
			? getLatestStoreMs(
					clock,
					pickLatestStoreReading(storeTime, deps.getStoreTime()),
					clock.now(),
				)
			: 0;

	const removeExpired = () => {
		const oldest = getStoreNow() - 2 * turnoverMs;
		for (const [machine, at] of lastCommands) {
			if (at < oldest) {
				lastCommands.delete(machine);
			}
		}
	};

	const applyRow = (value: string, reading: StoreClockReading) => {
		const decoded = decodeRow(logSchema, value);
		if (!decoded.ok) {
			logger.warn('row skipped', {...rowKey, ...decoded.error});
			return;
		}

		for (const [machine, at] of Object.entries(decoded.value)) {
			const endsAtMs = at + turnoverMs + transitMs;
			const leftMs = getMaxRemainingMs(reading, endsAtMs);
			lastCommands.set(machine, at);
			freeAt.set(machine, clock.now() + leftMs);
		}
	};

	/** Returns whether the conflict came from a delayed write of this holder. */
	const resolveConflict = (rows: readonly StoredRow[]): boolean => {
		const lease = rows.find(({table}) => table === tables.lease);
		version = rows.find(({table}) => table === tables.owner)?.version ?? 0;
		return lease?.version === held.version;
	};

	const write = async (tries = 1): Promise<boolean> => {
		const value = encodeCommands(lastCommands);
		const sent = getMoment(clock);
		const result = await store.transact(
			{
				// A write that takes effect late must not undo a later one.
				checks: [getLeaseCheck(held), {...rowKey, version}],
				puts: [{...rowKey, value}],
				removes: [],
			},
			periods.storeTimeoutMs,
		);
		if (result.ok) {
			version = result.value.version;
			storeTime = {nowMs: result.value.nowMs, sent};
			return true;
		}

		logger.warn('orders not noted', describeStoreError(result.error));
		if (result.error.kind !== 'conflict') {
			return false;
		}

		if (!resolveConflict(result.error.rows)) {
			deps.onLost();
			return false;
		}

		return tries < maxTries ? write(tries + 1) : false;
	};

	return {
		async load() {
			const sent = getMoment(clock);
			const page = await store.read(rowKey, periods.storeTimeoutMs);
			if (!page.ok) {
				return false;
			}

			storeTime = {nowMs: page.value.nowMs, sent};
			const row = page.value.rows.find(({key}) => key === logKey);
			version = row?.version ?? 0;
			if (row) {
				applyRow(row.value, storeTime);
			}

			return true;
		},
		listFitting(machines) {
			removeExpired();
			const {safeValueBytes} = store.limits;
			let bytes = getValueBytes(encodeCommands(lastCommands));
			return machines.filter((machine) => {
				// Its time takes as many bytes again if it is in the log already.
				bytes += getValueBytes(
					encodeCommands(new Map([[machine, getStoreNow()]])),
				);
				return bytes <= safeValueBytes;
			});
		},
		async record(machines) {
			removeExpired();
			for (const machine of machines) {
				lastCommands.set(machine, getStoreNow());
			}

			return write();
		},
		mayCommand: (machine) => clock.now() >= (freeAt.get(machine) ?? 0),
	};
};

/**
 * Stores when each machine last got a command, for the next holder of the
 * fleet's shard: two holders may not command one machine within the turnover
 * time. Times are of the store's steady clock.
 */
import type {RowStore, StoredRow} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
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
	readonly now: () => number;
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
	const {store, held, now, turnoverMs, logger} = deps;
	const lastCommands = new Map<string, number>();
	/**
	 * Local time from which a machine of the previous holder may get commands.
	 */
	const freeAt = new Map<string, number>();
	/** Version of the row; 0 if there is none. */
	let version = 0;
	let clock: {readonly storeMs: number; readonly sentAt: number} | undefined;

	/** A reading is as old as its request, which this process may have delayed. */
	const setClock = (storeMs: number, sentAt: number) => {
		clock = {storeMs, sentAt};
	};

	/** Upper bound of the store's clock. */
	const getStoreNow = (): number =>
		clock ? clock.storeMs + (now() - clock.sentAt) : 0;

	const removeExpired = () => {
		const oldest = getStoreNow() - 2 * turnoverMs;
		for (const [machine, at] of lastCommands) {
			if (at < oldest) {
				lastCommands.delete(machine);
			}
		}
	};

	const applyRow = (value: string, nowMs: number) => {
		const decoded = decodeRow(logSchema, value);
		if (!decoded.ok) {
			logger.warn('row skipped', {...rowKey, ...decoded.error});
			return;
		}

		for (const [machine, at] of Object.entries(decoded.value)) {
			const leftMs = turnoverMs + transitMs - (nowMs - at);
			lastCommands.set(machine, at);
			freeAt.set(machine, now() + leftMs);
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
		const sentAt = now();
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
			setClock(result.value.nowMs, sentAt);
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
			const sentAt = now();
			const page = await store.read(rowKey, periods.storeTimeoutMs);
			if (!page.ok) {
				return false;
			}

			setClock(page.value.nowMs, sentAt);
			const row = page.value.rows.find(({key}) => key === logKey);
			version = row?.version ?? 0;
			if (row) {
				applyRow(row.value, page.value.nowMs);
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
		mayCommand: (machine) => now() >= (freeAt.get(machine) ?? 0),
	};
};

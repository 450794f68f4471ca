/**
 * Stores when each machine last got a command, for the next holder of the
 * fleet's shard: two holders may not command one machine within the turnover
 * time. Times are of the store's steady clock.
 */
import type {RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {decodeRow, fleetShard, getLeaseCheck, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

export type CommandLog = {
	/**
	 * Reads the log of the previous holder; resolves to false without an answer.
	 */
	readonly load: () => Promise<boolean>;
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

/** Maximum time from recording a command to its arrival, in milliseconds. */
const transitMs = 300;

export const createCommandLog = (deps: CommandLogDeps): CommandLog => {
	const {store, held, now, turnoverMs, logger} = deps;
	const lastCommands = new Map<string, number>();
	/**
	 * Local time from which a machine of the previous holder may get commands.
	 */
	const freeAt = new Map<string, number>();
	let clock: {readonly storeMs: number; readonly at: number} | undefined;

	const setClock = (storeMs: number) => {
		clock = {storeMs, at: now()};
	};

	const getStoreNow = (): number =>
		clock ? clock.storeMs + (now() - clock.at) : 0;

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

	return {
		async load() {
			const page = await store.read(rowKey, periods.storeTimeoutMs);
			if (!page.ok) {
				return false;
			}

			setClock(page.value.nowMs);
			const row = page.value.rows.find(({key}) => key === logKey);
			if (row) {
				applyRow(row.value, page.value.nowMs);
			}

			return true;
		},
		async record(machines) {
			removeExpired();
			for (const machine of machines) {
				lastCommands.set(machine, getStoreNow());
			}

			const value = JSON.stringify(Object.fromEntries(lastCommands));
			const result = await store.transact(
				{
					checks: [getLeaseCheck(held)],
					puts: [{...rowKey, value}],
					removes: [],
				},
				periods.storeTimeoutMs,
			);
			if (result.ok) {
				setClock(result.value.nowMs);
				return true;
			}

			logger.warn('orders not noted', {reason: result.error.kind});
			if (result.error.kind === 'conflict') {
				deps.onLost();
			}

			return false;
		},
		mayCommand: (machine) => now() >= (freeAt.get(machine) ?? 0),
	};
};

/**
 * When each machine was last ordered, kept for the next holder of the fleet:
 * two holders may not order one machine within the turnover time. Times are
 * those of the store's steady clock.
 */
import type {RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {decodeRow, fleetShard, getLeaseCheck, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

/** The book. */
export type CommandLog = {
	/** Reads what the holder before has left; false without an answer. */
	readonly load: () => Promise<boolean>;
	/** Notes machines as ordered; only then may they be. */
	readonly record: (machines: readonly string[]) => Promise<boolean>;
	readonly mayCommand: (machine: string) => boolean;
};

/** What the book needs. */
export type CommandLogDeps = {
	readonly store: RowStore;
	readonly held: HeldShard;
	readonly now: () => number;
	readonly turnoverMs: number;
	readonly logger: Pick<Logger, 'warn'>;
	readonly onLost: () => void;
};

const orderKey = 'orders';

const rowKey = {table: tables.owner, part: fleetShard, key: orderKey} as const;

const bookSchema = z.record(z.string(), z.number());

/** Time between the note and the arrival of an order, milliseconds. */
const transitMs = 300;

/** Creates a book that knows nothing. */
export const createCommandLog = (deps: CommandLogDeps): CommandLog => {
	const {store, held, now, turnoverMs, logger} = deps;
	const lastOrders = new Map<string, number>();
	/** From when on a machine that the holder before ordered is free. */
	const freeAt = new Map<string, number>();
	let clock: {readonly storeMs: number; readonly at: number} | undefined;

	const noteClock = (storeMs: number) => {
		clock = {storeMs, at: now()};
	};

	const getStoreNow = (): number =>
		clock ? clock.storeMs + (now() - clock.at) : 0;

	const forgetOld = () => {
		const oldest = getStoreNow() - 2 * turnoverMs;
		for (const [machine, at] of lastOrders) {
			if (at < oldest) {
				lastOrders.delete(machine);
			}
		}
	};

	const takeRow = (value: string, nowMs: number) => {
		const decoded = decodeRow(bookSchema, value);
		if (!decoded.ok) {
			logger.warn('row skipped', {...rowKey, ...decoded.error});
			return;
		}

		for (const [machine, at] of Object.entries(decoded.value)) {
			const leftMs = turnoverMs + transitMs - (nowMs - at);
			lastOrders.set(machine, at);
			freeAt.set(machine, now() + leftMs);
		}
	};

	return {
		async load() {
			const page = await store.read(rowKey, periods.storeTimeoutMs);
			if (!page.ok) {
				return false;
			}

			noteClock(page.value.nowMs);
			const row = page.value.rows.find(({key}) => key === orderKey);
			if (row) {
				takeRow(row.value, page.value.nowMs);
			}

			return true;
		},
		async record(machines) {
			forgetOld();
			for (const machine of machines) {
				lastOrders.set(machine, getStoreNow());
			}

			const value = JSON.stringify(Object.fromEntries(lastOrders));
			const result = await store.transact(
				{
					checks: [getLeaseCheck(held)],
					puts: [{...rowKey, value}],
					removes: [],
				},
				periods.storeTimeoutMs,
			);
			if (result.ok) {
				noteClock(result.value.nowMs);
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

/** Reads and writes the row of demand rises under the fleet's lease. */
import {fleet} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {decodeRows} from '../rows/decode-rows.js';
import {fleetShard, getLeaseCheck, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

const rowKey = {
	table: tables.fleetForecast,
	part: fleetShard,
	key: 'demand-rises',
} as const;

const storedRisesSchema: z.ZodType<fleet.StoredRises> = z.object({
	format: z.literal(1),
	rises: z.array(
		z.object({
			pool: z.string(),
			startEpochMs: z.number(),
			lengthMs: z.number().min(0),
			heightCpu: z.number().min(0),
		}),
	),
});

/** Outcome of a write; one of `not-stored` may still take effect later. */
export type RiseWriteOutcome = 'stored' | 'not-stored' | 'lost-shard';

/**
 * Reads the stored rises; none if the row is missing or cannot be decoded,
 * `undefined` if the store does not answer.
 */
export const readDemandRises = async (
	store: RowStore,
	logger: Pick<Logger, 'warn'>,
): Promise<readonly fleet.Rise[] | undefined> => {
	const page = await store.read(rowKey, periods.storeTimeoutMs);
	if (!page.ok) {
		return undefined;
	}

	const rows = page.value.rows.filter(({key}) => key === rowKey.key);
	return [...decodeRows(rows, storedRisesSchema, logger)].flatMap(
		({value}) => value.rises,
	);
};

/** Stores the rises, provided that the shard is still held. */
export const storeDemandRises = async (
	store: RowStore,
	held: HeldShard,
	rises: readonly fleet.Rise[],
): Promise<RiseWriteOutcome> => {
	const value = fleet.formatStoredRises(rises);
	const result = await store.transact(
		{
			checks: [getLeaseCheck(held)],
			puts: [{...rowKey, value}],
			removes: [],
		},
		periods.storeTimeoutMs,
	);
	if (result.ok) {
		return 'stored';
	}

	return result.error.kind === 'conflict' ? 'lost-shard' : 'not-stored';
};

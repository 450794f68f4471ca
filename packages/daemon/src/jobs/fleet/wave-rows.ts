/** The rows of waves: what has begun, under the fleet's lease. */
import {type fleet} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {readWhole} from '../rows/table-feed.js';
import {decodeRow, fleetShard, singleKeys, tables} from '../rows/tables.js';
import type {HeldShard} from '../shards/shard-keeper.js';

const waveTable = 'wave';

const waveSchema: z.ZodType<fleet.MachineWave> = z.object({
	request: z.object({
		id: z.string(),
		machines: z.array(z.string()),
		durationMs: z.number(),
		maxAway: z.int(),
	}),
	seenAtEpochMs: z.number(),
	begun: z.record(
		z.string(),
		z.object({
			executorId: z
				.string()
				.optional()
				.transform((id) => id),
			begunAtEpochMs: z.number(),
			isAnswered: z.boolean(),
			isBack: z.boolean(),
		}),
	),
	isCompleted: z.boolean(),
});

/** Outcome of a write: `unknown` may take effect later. */
export type WaveWrite = 'stored' | 'not-stored' | 'lost-shard';

/** Reads all waves that were begun; `undefined` if the store does not answer. */
export const readWaves = async (
	store: RowStore,
	logger: Pick<Logger, 'warn'>,
): Promise<readonly fleet.MachineWave[] | undefined> => {
	const rows = await readWhole(
		store,
		{table: waveTable, part: fleetShard},
		periods.storeTimeoutMs,
	);
	if (!rows.ok) {
		return undefined;
	}

	return rows.value.rows.flatMap(({key, value}) => {
		const decoded = decodeRow(waveSchema, value);
		if (decoded.ok) {
			return [decoded.value];
		}

		logger.warn('row skipped', {table: waveTable, key, ...decoded.error});
		return [];
	});
};

/** Stores a wave while the shard is held. */
export const storeWave = async (
	store: RowStore,
	held: HeldShard,
	wave: fleet.MachineWave,
): Promise<WaveWrite> => {
	const result = await store.transact(
		{
			checks: [
				{
					table: tables.lease,
					part: fleetShard,
					key: singleKeys.lease,
					version: held.version,
				},
			],
			puts: [
				{
					table: waveTable,
					part: fleetShard,
					key: wave.request.id,
					value: JSON.stringify(wave),
				},
			],
			removes: [],
		},
		periods.storeTimeoutMs,
	);
	if (result.ok) {
		return 'stored';
	}

	return result.error.kind === 'conflict' ? 'lost-shard' : 'not-stored';
};

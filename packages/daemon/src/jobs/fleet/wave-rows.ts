/** Reads and writes the rows of waves under the fleet's lease. */
import {type fleet} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {readRange} from '../rows/table-feed.js';
import {decodeRows} from '../rows/decode-rows.js';
import {fleetShard, getLeaseCheck} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

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
			wasInMaintenance: z.boolean().optional(),
			isBack: z.boolean(),
		}),
	),
	isCompleted: z.boolean(),
});

/** Outcome of a write; one of `not-stored` may still take effect later. */
export type WaveWriteOutcome = 'stored' | 'not-stored' | 'lost-shard';

/** Reads all stored waves; `undefined` if the store does not answer. */
export const readWaves = async (
	store: RowStore,
	logger: Pick<Logger, 'warn'>,
): Promise<readonly fleet.MachineWave[] | undefined> => {
	const rows = await readRange(
		store,
		{table: waveTable, part: fleetShard},
		periods.storeTimeoutMs,
	);
	if (!rows.ok) {
		return undefined;
	}

	const decoded = decodeRows(rows.value.rows, waveSchema, logger);
	return [...decoded].map(({value}) => value);
};

/** Stores a wave, provided that the shard is still held. */
export const storeWave = async (
	store: RowStore,
	held: HeldShard,
	wave: fleet.MachineWave,
): Promise<WaveWriteOutcome> => {
	const result = await store.transact(
		{
			checks: [getLeaseCheck(held)],
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

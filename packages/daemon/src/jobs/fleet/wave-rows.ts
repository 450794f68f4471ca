/**
 * Reads and writes the rows of waves under the fleet's lease. The rows have the
 * fields of the older format too, which two releases read and write.
 */
import {fleet} from '@gullstand/core';
import type {RowPut, RowStore} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {readRange} from '../rows/table-feed.js';
import {decodeRows} from '../rows/decode-rows.js';
import {fleetShard, getLeaseCheck} from '../rows/tables.js';
import type {HeldShard} from '../shards/held-shard.js';

const waveTable = 'wave';

const progressSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('unanswered')}),
	z.object({kind: z.literal('accepted')}),
	z.object({
		kind: z.literal('returned'),
		evidence: z.enum(fleet.returnEvidence),
	}),
	z.object({kind: z.literal('not-in-wave')}),
	z.object({kind: z.literal('not-found')}),
]);

const maintenanceSchema = z.object({
	executorId: z.string().optional(),
	begunAtEpochMs: z.number(),
	isAnswered: z.boolean(),
	wasInMaintenance: z.boolean().optional(),
	isBack: z.boolean(),
	/** Only if the platform has refused the machine. */
	progress: progressSchema.optional(),
	attempts: z.int().optional(),
});

type MaintenanceRow = z.infer<typeof maintenanceSchema>;

/** Without `progress`, only an answered command has any evidence. */
const toProgress = ({
	isAnswered,
	isBack,
}: MaintenanceRow): fleet.MaintenanceProgress => {
	if (!isAnswered) {
		return {kind: 'unanswered'};
	}

	return isBack ? {kind: 'returned', evidence: 'stored'} : {kind: 'accepted'};
};

const toMaintenance = (row: MaintenanceRow): fleet.MachineMaintenance => ({
	progress: row.progress ?? toProgress(row),
	executorId: row.executorId,
	sinceEpochMs: row.begunAtEpochMs,
	attempts: row.attempts ?? 1,
	wasInMaintenance: row.wasInMaintenance ?? false,
});

/** Leaves out what the other fields say, since a wave has many machines. */
const toMaintenanceRow = (entry: fleet.MachineMaintenance): MaintenanceRow => {
	const {progress, executorId, sinceEpochMs, attempts, wasInMaintenance} =
		entry;
	const {kind} = progress;
	return {
		executorId,
		begunAtEpochMs: Math.round(sinceEpochMs),
		isAnswered: kind === 'accepted' || kind === 'returned',
		isBack: !fleet.isAway(entry),
		...(wasInMaintenance ? {wasInMaintenance} : {}),
		...(kind === 'not-in-wave' || kind === 'not-found' ? {progress} : {}),
		...(attempts > 1 ? {attempts} : {}),
	};
};

const mapValues = <From, To>(
	values: Readonly<Record<string, From>>,
	convert: (value: From) => To,
): Record<string, To> =>
	Object.fromEntries(
		Object.entries(values).map(([key, value]) => [key, convert(value)]),
	);

const waveSchema: z.ZodType<fleet.MachineWave> = z.object({
	request: z.object({
		id: z.string(),
		machines: z.array(z.string()),
		durationMs: z.number(),
		maxAway: z.int(),
	}),
	seenAtEpochMs: z.number(),
	begun: z
		.record(z.string(), maintenanceSchema)
		.transform((rows) => mapValues(rows, toMaintenance)),
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

const toPut = (wave: fleet.MachineWave): RowPut => ({
	table: waveTable,
	part: fleetShard,
	key: wave.request.id,
	value: JSON.stringify({
		...wave,
		begun: mapValues(wave.begun, toMaintenanceRow),
	}),
});

/** Stores waves in one transaction, provided that the shard is still held. */
export const storeWaves = async (
	store: RowStore,
	held: HeldShard,
	waves: readonly fleet.MachineWave[],
): Promise<WaveWriteOutcome> => {
	const result = await store.transact(
		{
			checks: [getLeaseCheck(held)],
			puts: waves.map((wave) => toPut(wave)),
			removes: [],
		},
		periods.storeTimeoutMs,
	);
	if (result.ok) {
		return 'stored';
	}

	return result.error.kind === 'conflict' ? 'lost-shard' : 'not-stored';
};

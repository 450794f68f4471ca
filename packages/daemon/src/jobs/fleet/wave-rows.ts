/**
 * Reads and writes the rows of waves under the fleet's lease. The rows have the
 * fields of the older format too, which two releases read and write.
 */
import {fleet} from '@gullstand/core';
import type {
	RowCheck,
	RowKey,
	RowPut,
	RowStore,
	StoredRow,
} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {readRange} from '../rows/table-feed.js';
import {decodeRows} from '../rows/decode-rows.js';
import {fleetShard, getLeaseCheck, tables} from '../rows/tables.js';
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

const toRowKey = (key: string): RowKey => ({
	table: waveTable,
	part: fleetShard,
	key,
});

const toPut = (wave: fleet.MachineWave): RowPut => ({
	...toRowKey(wave.request.id),
	value: JSON.stringify({
		...wave,
		begun: mapValues(wave.begun, toMaintenanceRow),
	}),
});

/** The stored waves, while this daemon holds the shard. */
export type WaveRows = {
	/** Reads all waves; resolves to nothing if the store does not answer. */
	readonly load: () => Promise<readonly fleet.MachineWave[] | undefined>;
	/** Stores waves in one transaction, provided that the shard is still held. */
	readonly save: (
		waves: readonly fleet.MachineWave[],
	) => Promise<WaveWriteOutcome>;
};

/** The second try follows a conflict with a delayed write of this holder. */
const maxTries = 2;

/**
 * Each write checks the versions of its rows, so that a write that takes effect
 * late undoes no later one.
 */
export const createWaveRows = (
	store: RowStore,
	held: HeldShard,
	logger: Pick<Logger, 'warn'>,
): WaveRows => {
	const versions = new Map<string, number>();

	const toCheck = ({request}: fleet.MachineWave): RowCheck => ({
		...toRowKey(request.id),
		version: versions.get(request.id) ?? 0,
	});

	/** Returns whether the conflict came from a delayed write of this holder. */
	const resolveConflict = (
		waves: readonly fleet.MachineWave[],
		rows: readonly StoredRow[],
	): boolean => {
		const lease = rows.find(({table}) => table === tables.lease);
		for (const {request} of waves) {
			const row = rows.find(
				({table, key}) => table === waveTable && key === request.id,
			);
			versions.set(request.id, row?.version ?? 0);
		}

		return lease?.version === held.version;
	};

	const save = async (
		waves: readonly fleet.MachineWave[],
		tries = 1,
	): Promise<WaveWriteOutcome> => {
		const result = await store.transact(
			{
				checks: [getLeaseCheck(held), ...waves.map((wave) => toCheck(wave))],
				puts: waves.map((wave) => toPut(wave)),
				removes: [],
			},
			periods.storeTimeoutMs,
		);
		if (result.ok) {
			for (const {request} of waves) {
				versions.set(request.id, result.value.version);
			}

			return 'stored';
		}

		if (result.error.kind !== 'conflict') {
			return 'not-stored';
		}

		if (!resolveConflict(waves, result.error.rows)) {
			return 'lost-shard';
		}

		return tries < maxTries ? save(waves, tries + 1) : 'not-stored';
	};

	return {
		async load() {
			const read = await readRange(
				store,
				{table: waveTable, part: fleetShard},
				periods.storeTimeoutMs,
			);
			if (!read.ok) {
				return undefined;
			}

			for (const {key, version} of read.value.rows) {
				versions.set(key, version);
			}

			const decoded = decodeRows(read.value.rows, waveSchema, logger);
			return [...decoded].map(({value}) => value);
		},
		save: async (waves) => save(waves),
	};
};

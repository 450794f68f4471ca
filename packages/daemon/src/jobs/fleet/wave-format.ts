/**
 * Encodes waves as rows. A wave that fits into one row has the fields of the
 * older format, which two releases read and write; the machines of a larger one
 * are in rows of their own. A completed wave needs no machines any more.
 */
import {fleet} from '@gullstand/core';
import type {StoredRow} from '@gullstand/ports';
import * as z from 'zod';
import type {Logger} from '../../log/logger.js';
import {decodeRows} from '../rows/decode-rows.js';
import {splitEntries} from '../rows/split-rows.js';
import {getValueBytes} from '../rows/transaction-size.js';

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

const waveSchema = z.object({
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

/**
 * Schema of a wave whose machines are in other rows. Releases that do not know
 * these skip it, since it has no `begun`.
 */
const splitWaveSchema = waveSchema
	.omit({begun: true})
	.extend({begun: z.undefined().optional()});

/** Position in the request, id, and the maintenance if it has begun. */
const machinesSchema = z.array(
	z.tuple([z.int(), z.string()]).rest(maintenanceSchema),
);

const partsPrefix = '/';

/** Whether the key of a row of the table is one of a wave's machines. */
const isPartKey = (key: string): boolean => key.includes(partsPrefix);

/** Returns the id of the wave that a row belongs to. */
export const getWaveId = (key: string): string => key.split(partsPrefix, 1)[0]!;

const listMachines = ({
	request,
	begun,
}: fleet.MachineWave): readonly string[] => [
	...new Set([...request.machines, ...Object.keys(begun)]),
];

const encodeParts = (
	wave: fleet.MachineWave,
	maxBytes: number,
): ReadonlyArray<readonly [string, string]> => {
	const entries = listMachines(wave).map((id, index) => {
		const entry = fleet.getMaintenance(wave, id);
		const fields = entry ? [toMaintenanceRow(entry)] : [];
		return {id, text: JSON.stringify([index, id, ...fields])};
	});
	return splitEntries(entries, maxBytes).map(({bits, value}) => [
		`${wave.request.id}${partsPrefix}b${bits}`,
		value,
	]);
};

/**
 * Encodes a wave as values by key. The row that names the wave is the last, and
 * the others count only once it is stored without machines. A wave that was
 * split stays so.
 */
export const encodeWave = (
	wave: fleet.MachineWave,
	maxBytes: number,
	wasSplit: boolean,
): ReadonlyMap<string, string> => {
	const {request, isCompleted} = wave;
	const {begun, ...fields} = isCompleted
		? {...wave, request: {...request, machines: []}, begun: {}}
		: wave;
	const whole = JSON.stringify({
		...fields,
		begun: mapValues(begun, toMaintenanceRow),
	});
	if (isCompleted || (!wasSplit && getValueBytes(whole) <= maxBytes)) {
		return new Map([[request.id, whole]]);
	}

	const base = {...fields, request: {...request, machines: []}};
	return new Map([
		...encodeParts(wave, maxBytes),
		[request.id, JSON.stringify(base)],
	]);
};

type MachineEntry = {
	/** Position in the request. */
	readonly index: number;
	/** At most one. */
	readonly rows: readonly MaintenanceRow[];
};

/** Machines of each split wave, those of newer rows last. */
const collectMachines = (
	rows: readonly StoredRow[],
	logger: Pick<Logger, 'warn'>,
) => {
	const parts = rows
		.filter(({key}) => isPartKey(key))
		.toSorted((one, two) => one.version - two.version);
	const waves = new Map<string, Map<string, MachineEntry>>();
	for (const {row, value} of decodeRows(parts, machinesSchema, logger)) {
		const id = getWaveId(row.key);
		const machines = waves.get(id) ?? new Map<string, MachineEntry>();
		waves.set(id, machines);
		for (const [index, machine, ...begun] of value) {
			machines.set(machine, {index, rows: begun});
		}
	}

	return waves;
};

export type DecodedWave = {
	readonly wave: fleet.MachineWave;
	/** Whether its machines are in rows of their own. */
	readonly isSplit: boolean;
};

/** Decodes all waves; rows that cannot be read are logged and skipped. */
export const decodeWaves = (
	rows: readonly StoredRow[],
	logger: Pick<Logger, 'warn'>,
): readonly DecodedWave[] => {
	const machinesByWave = collectMachines(rows, logger);
	const bases = rows.filter(({key}) => !isPartKey(key));
	const decoded = decodeRows(
		bases,
		z.union([waveSchema, splitWaveSchema]),
		logger,
	);
	return [...decoded].map(({row, value}): DecodedWave => {
		if (value.begun) {
			return {wave: {...value, begun: value.begun}, isSplit: false};
		}

		const machines = [...(machinesByWave.get(row.key) ?? [])].toSorted(
			([, one], [, two]) => one.index - two.index,
		);
		const begun = Object.fromEntries(
			machines.flatMap(([id, {rows: entries}]) =>
				entries.slice(0, 1).map((each) => [id, toMaintenance(each)] as const),
			),
		);
		const request = {
			...value.request,
			machines: machines.map(([id]) => id),
		};
		return {wave: {...value, request, begun}, isSplit: true};
	});
};

/** Reads and writes the rows of waves under the fleet's lease. */
import type {fleet} from '@gullstand/core';
import type {
	RowKey,
	RowPut,
	RowStore,
	RowStoreError,
	RowTransaction,
	StoredRow,
} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import {periods} from '../periods.js';
import {readRange} from '../rows/table-feed.js';
import {fleetShard, getLeaseCheck, tables} from '../rows/tables.js';
import {isWithinLimits} from '../rows/transaction-size.js';
import type {HeldShard} from '../shards/held-shard.js';
import {decodeWaves, encodeWave, getWaveId} from './wave-format.js';

const waveTable = 'wave';

/** Outcome of a write; one of `not-stored` may still take effect later. */
export type WaveWriteOutcome =
	| {readonly kind: 'stored'}
	| {readonly kind: 'not-stored'; readonly error: RowStoreError}
	| {readonly kind: 'lost-shard'};

/** The stored waves, while this daemon holds the shard. */
export type WaveRows = {
	/** Reads all waves; resolves to nothing if the store does not answer. */
	readonly load: () => Promise<readonly fleet.MachineWave[] | undefined>;
	/**
	 * Stores waves, provided that the shard is still held: in one transaction if
	 * they fit, and each on its own if the store refuses that for good. Resolves
	 * to the outcome of each.
	 */
	readonly save: (
		waves: readonly fleet.MachineWave[],
	) => Promise<readonly WaveWriteOutcome[]>;
};

/** The second try follows a conflict with a delayed write of this holder. */
const maxTries = 2;

type StoredValue = {
	readonly version: number;
	/** Undefined if it is not known. */
	readonly value: string | undefined;
};

/** Writes of rows, in the order in which they have to take effect. */
type WaveWrite =
	| {readonly kind: 'put'; readonly put: RowPut}
	| {readonly kind: 'remove'; readonly key: RowKey};

const toRowKey = (key: string): RowKey => ({
	table: waveTable,
	part: fleetShard,
	key,
});

const getKey = (write: WaveWrite): string =>
	write.kind === 'put' ? write.put.key : write.key.key;

/**
 * Each write checks the versions of its rows, so that a write that takes effect
 * late undoes no later one.
 */
export const createWaveRows = (
	store: RowStore,
	held: HeldShard,
	logger: Pick<Logger, 'warn'>,
): WaveRows => {
	const stored = new Map<string, StoredValue>();
	const splitWaves = new Set<string>();

	/**
	 * Lists the writes of a wave: first of its machines, then of the row that
	 * names it, and removals once all its machines are in other rows.
	 */
	const planWave = (wave: fleet.MachineWave): readonly WaveWrite[] => {
		const {id} = wave.request;
		const rows = encodeWave(
			wave,
			store.limits.safeValueBytes,
			splitWaves.has(id),
		);
		if (rows.size > 1) {
			splitWaves.add(id);
		}

		const puts = [...rows].flatMap(([key, value]): WaveWrite[] =>
			key !== id && stored.get(key)?.value === value
				? []
				: [{kind: 'put', put: {...toRowKey(key), value}}],
		);
		const removes = [...stored.keys()].flatMap((key): WaveWrite[] =>
			getWaveId(key) === id && !rows.has(key)
				? [{kind: 'remove', key: toRowKey(key)}]
				: [],
		);
		return [...puts, ...removes];
	};

	const toTransaction = (writes: readonly WaveWrite[]): RowTransaction => ({
		checks: [
			getLeaseCheck(held),
			...writes.map((write) => ({
				...toRowKey(getKey(write)),
				version: stored.get(getKey(write))?.version ?? 0,
			})),
		],
		puts: writes.flatMap((write) => (write.kind === 'put' ? [write.put] : [])),
		removes: writes.flatMap((write) =>
			write.kind === 'remove' ? [write.key] : [],
		),
	});

	/** Divides writes into as many transactions as needed, in order. */
	const divide = (
		writes: readonly WaveWrite[],
	): ReadonlyArray<readonly WaveWrite[]> => {
		const batches: WaveWrite[][] = [];
		for (const write of writes) {
			const batch = batches.at(-1);
			const larger = [...(batch ?? []), write];
			if (batch && isWithinLimits(toTransaction(larger), store.limits)) {
				batch.push(write);
			} else {
				batches.push([write]);
			}
		}

		return batches;
	};

	const recordStored = (writes: readonly WaveWrite[], version: number) => {
		for (const write of writes) {
			if (write.kind === 'put') {
				stored.set(write.put.key, {version, value: write.put.value});
			} else {
				stored.delete(write.key.key);
			}
		}
	};

	const forget = (writes: readonly WaveWrite[]) => {
		for (const write of writes) {
			const version = stored.get(getKey(write))?.version ?? 0;
			stored.set(getKey(write), {version, value: undefined});
		}
	};

	/** Returns whether the conflict came from a delayed write of this holder. */
	const resolveConflict = (
		writes: readonly WaveWrite[],
		rows: readonly StoredRow[],
	): boolean => {
		const lease = rows.find(({table}) => table === tables.lease);
		for (const write of writes) {
			const key = getKey(write);
			const row = rows.find(
				(each) => each.table === waveTable && each.key === key,
			);
			stored.set(key, {version: row?.version ?? 0, value: row?.value});
		}

		return lease?.version === held.version;
	};

	const writeOnce = async (
		writes: readonly WaveWrite[],
		tries = 1,
	): Promise<WaveWriteOutcome> => {
		const result = await store.transact(
			toTransaction(writes),
			periods.storeTimeoutMs,
		);
		if (result.ok) {
			recordStored(writes, result.value.version);
			return {kind: 'stored'};
		}

		const {error} = result;
		if (error.kind !== 'conflict') {
			forget(writes);
			return {kind: 'not-stored', error};
		}

		if (!resolveConflict(writes, error.rows)) {
			return {kind: 'lost-shard'};
		}

		return tries < maxTries
			? writeOnce(writes, tries + 1)
			: {kind: 'not-stored', error};
	};

	/** Stores the writes of a wave in order; ends with the first that fails. */
	const writeAll = async (
		writes: readonly WaveWrite[],
	): Promise<WaveWriteOutcome> => {
		for (const batch of divide(writes)) {
			const outcome = await writeOnce(batch);
			if (outcome.kind !== 'stored') {
				return outcome;
			}
		}

		return {kind: 'stored'};
	};

	const isRefused = (outcome: WaveWriteOutcome): boolean =>
		outcome.kind === 'not-stored' && outcome.error.kind === 'rejected';

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

			for (const {key, version, value} of read.value.rows) {
				stored.set(key, {version, value});
			}

			const decoded = decodeWaves(read.value.rows, logger);
			for (const {wave, isSplit} of decoded) {
				if (isSplit) {
					splitWaves.add(wave.request.id);
				}
			}

			return decoded.map(({wave}) => wave);
		},
		async save(waves) {
			const plans = waves.map((wave) => planWave(wave));
			const all = plans.flat();
			if (isWithinLimits(toTransaction(all), store.limits)) {
				const outcome = await writeOnce(all);
				if (waves.length < 2 || !isRefused(outcome)) {
					return waves.map(() => outcome);
				}
			}

			const outcomes: WaveWriteOutcome[] = [];
			for (const plan of plans) {
				outcomes.push(await writeAll(plan));
			}

			return outcomes;
		},
	};
};

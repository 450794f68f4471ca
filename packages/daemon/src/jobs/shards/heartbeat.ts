/**
 * Writes this daemon's heartbeat to the store: until the first write succeeds,
 * and then while the daemon is a holder or a candidate.
 */
import type {Result, shardAssignment} from '@gullstand/core';
import type {
	RowStore,
	RowStoreError,
	TransactionResult,
} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {createTicker, type Ticker} from '../../view/ticker.js';
import {getMoment, type Clock} from '../clock.js';
import {periods} from '../periods.js';
import type {StoreClockReading} from '../rows/store-clock.js';
import {tables, type DaemonRow} from '../rows/tables.js';

export type HeartbeatDeps = {
	readonly store: RowStore;
	readonly name: string;
	readonly incarnation: string;
	readonly getAddress: () => string;
	/** Capacity of this machine, published to the other daemons. */
	readonly capacity: shardAssignment.EntryCapacity | undefined;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly clock: Clock;
	readonly random: () => number;
	/** Whether other daemons need to observe that this one is alive. */
	readonly isNeeded: () => boolean;
};

export type Heartbeat = Ticker & {
	/** Writes a heartbeat now; resolves to whether it was stored. */
	readonly writeNow: () => Promise<boolean>;
	/**
	 * Writes a heartbeat unless the last one is younger than the heartbeat
	 * interval; resolves to whether a recent one is stored.
	 */
	readonly ensureRecent: () => Promise<boolean>;
	/** The store's clock at the latest heartbeat; absent before the first. */
	readonly getStoreTime: () => StoreClockReading | undefined;
};

/**
 * Attempts to write one heartbeat: each other one may meet a delayed write of
 * this incarnation or an earlier one.
 */
const maxTries = 3;

export const createHeartbeat = (deps: HeartbeatDeps): Heartbeat => {
	const {store, name, incarnation, logger, clock} = deps;
	const {now} = clock;
	// Each daemon has its own partition, since a partition applies writes
	// serially.
	const key = {table: tables.daemon, part: name, key: name};
	/** Version of the row as far as it is known; 0 if there is none. */
	let version = 0;
	let beat = 0;
	let writtenAt: number | undefined;
	let isFailing = false;
	let storeTime: StoreClockReading | undefined;

	const recordResult = (isWritten: boolean, sentAt: number) => {
		if (isWritten) {
			writtenAt = sentAt;
		}

		if (isFailing === isWritten) {
			isFailing = !isWritten;
			logger.info(
				isWritten ? 'heartbeat writes recovered' : 'heartbeat write failed',
				{beat},
			);
		}
	};

	/**
	 * Writes over the known version of the row, so that a write that the store
	 * carries out late does not replace a later one: another incarnation in the
	 * row shows that this one has ended.
	 */
	const write = async (
		value: string,
		tries = 1,
	): Promise<Result<TransactionResult, RowStoreError>> => {
		const result = await store.transact(
			{checks: [{...key, version}], puts: [{...key, value}], removes: []},
			periods.storeTimeoutMs,
		);
		if (result.ok) {
			version = result.value.version;
			return result;
		}

		if (result.error.kind !== 'conflict') {
			return result;
		}

		version = result.error.rows[0]?.version ?? 0;
		return tries < maxTries ? write(value, tries + 1) : result;
	};

	const beatOnce = async () => {
		beat += 1;
		const row: DaemonRow = {
			incarnation,
			address: deps.getAddress(),
			beat,
			capacity: deps.capacity,
		};
		const sent = getMoment(clock);
		const result = await write(JSON.stringify(row));
		recordResult(result.ok, sent.at);
		if (result.ok) {
			storeTime = {nowMs: result.value.nowMs, sent};
		}

		return result.ok;
	};

	const ticker = createTicker(
		async () => {
			if (writtenAt === undefined || deps.isNeeded()) {
				await beatOnce();
			}
		},
		periods.heartbeatIntervalMs,
		deps.random,
	);
	return {
		start: async (reportFailure: ReportFailure) => ticker.start(reportFailure),
		stop: ticker.stop,
		writeNow: beatOnce,
		getStoreTime: () => storeTime,
		async ensureRecent() {
			const isRecent =
				writtenAt !== undefined &&
				now() - writtenAt < periods.heartbeatIntervalMs;
			return isRecent || beatOnce();
		},
	};
};

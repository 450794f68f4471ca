/**
 * Writes this daemon's heartbeat to the store: while it is a holder or a
 * candidate, and until the first one is stored.
 */
import type {shardAssignment} from '@gullstand/core';
import type {RowStore} from '@gullstand/ports';
import type {Logger} from '../../log/logger.js';
import type {ReportFailure} from '../../supervisor/supervisor.js';
import {createTicker, type Ticker} from '../../view/ticker.js';
import {periods} from '../periods.js';
import {tables, type DaemonRow} from '../rows/tables.js';

/** What a heartbeat needs. */
export type HeartbeatDeps = {
	readonly store: RowStore;
	readonly name: string;
	readonly incarnation: string;
	readonly getAddress: () => string;
	/** What this machine has, for the others to know. */
	readonly capacity: shardAssignment.EntryCapacity | undefined;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	readonly now: () => number;
	readonly random: () => number;
	/** Whether others have to see that this daemon lives. */
	readonly isNeeded: () => boolean;
};

/** The heartbeat. */
export type Heartbeat = Ticker & {
	/** Writes the first one now; answers whether it is in the store. */
	readonly writeNow: () => Promise<boolean>;
	/** Sees to it that a young one is in the store; answers whether it is. */
	readonly ensureRecent: () => Promise<boolean>;
};

/** Creates the heartbeat. */
export const createHeartbeat = (deps: HeartbeatDeps): Heartbeat => {
	const {store, name, incarnation, logger, now} = deps;
	let beat = 0;
	let writtenAt: number | undefined;
	let isLost = false;

	const noteResult = (isWritten: boolean, sentAt: number) => {
		if (isWritten) {
			writtenAt = sentAt;
		}

		if (isLost === isWritten) {
			isLost = !isWritten;
			logger.info(isWritten ? 'heartbeat regained' : 'heartbeat lost', {beat});
		}
	};

	const beatOnce = async () => {
		beat += 1;
		const row: DaemonRow = {
			incarnation,
			address: deps.getAddress(),
			beat,
			capacity: deps.capacity,
		};
		const sentAt = now();
		// A partition of its own: one carries out its writes one after another.
		const key = {table: tables.daemon, part: name, key: name};
		const result = await store.transact(
			{checks: [], puts: [{...key, value: JSON.stringify(row)}], removes: []},
			periods.storeTimeoutMs,
		);
		noteResult(result.ok, sentAt);
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
		async ensureRecent() {
			const isYoung =
				writtenAt !== undefined &&
				now() - writtenAt < periods.heartbeatIntervalMs;
			return isYoung || beatOnce();
		},
	};
};

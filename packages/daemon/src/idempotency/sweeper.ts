/**
 * Removes idempotency rows after their retention, page by page. Each entry
 * sweeps independently; removals are conditional, so that concurrent sweeps are
 * safe.
 */
import * as core from '@gullstand/core';
import type {ObjectStore, Row, TableService} from '@gullstand/ports';
import type {Part} from '../supervisor/supervisor.js';
import {readStored, idempotencyTable} from './group-writer.js';
import type {Clock, Randomness} from './ports.js';

type ExpiredRow = core.idempotency.ExpiredRow;

/** Dependencies of the sweeper. */
export type SweeperDeps = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	readonly randomness: Randomness;
	readonly clockSkewMs: number;
	readonly settings: core.idempotency.SweepSettings;
};

/** The sweeper. */
export type Sweeper = Part & {
	/** Number of rows removed. */
	readonly getRemovedCount: () => number;
};

/** Maximum number of rows removed in one transaction. */
const maxRemovals = 50;

const toPage = (rows: readonly Row[]) =>
	rows.flatMap((row) => {
		const stored = readStored(row);
		return stored === undefined ? [] : [[row.key, stored] as const];
	});

/** Creates a sweeper; it reads its first page after a delay. */
export const createSweeper = (deps: SweeperDeps): Sweeper => {
	const {tables, objects, clock, randomness, clockSkewMs, settings} = deps;
	let after: string | undefined;
	let removed = 0;
	let isStopped = true;
	let cancel = () => undefined as void;
	let sweeping = Promise.resolve();

	const removeRows = async (rows: readonly ExpiredRow[]): Promise<void> => {
		if (rows.length === 0) {
			return;
		}

		const writes = rows.map(({key, version}) => ({
			kind: 'delete' as const,
			table: idempotencyTable,
			key,
			when: {kind: 'version' as const, version},
		}));
		const result = await tables.commit(writes, randomness.createId());
		if (result.ok) {
			removed += rows.length;
		} else if (result.error.kind === 'conflict') {
			const {key} = result.error;
			await removeRows(rows.filter((row) => row.key !== key));
		}
	};

	const removeObject = async ({objectName}: ExpiredRow): Promise<boolean> => {
		if (objectName === undefined) {
			return true;
		}

		const result = await objects.delete(objectName);
		return result.ok;
	};

	/** Removes objects before rows, as a row without one can be removed later. */
	const removeAll = async (expired: readonly ExpiredRow[]) => {
		for (let from = 0; from < expired.length; from += maxRemovals) {
			const group = expired.slice(from, from + maxRemovals);
			const isRemovable = await Promise.all(
				group.map(async (row) => removeObject(row)),
			);
			await removeRows(group.filter((_, index) => isRemovable[index]));
		}
	};

	/** Sweeps one page; returns the delay before the next, in milliseconds. */
	const sweepPage = async (): Promise<number> => {
		const {pageRows: limit} = settings;
		const result = await tables.range({
			table: idempotencyTable,
			prefix: '',
			limit,
			...(after !== undefined && {after}),
		});
		if (!result.ok) {
			return settings.intervalMs;
		}

		const page = toPage(result.value);
		const {date} = clock.getTime();
		const expired = core.idempotency.listExpired(page, date, clockSkewMs);
		await removeAll(expired);
		after = result.value.length < limit ? undefined : result.value.at(-1)?.key;
		return core.idempotency.getSweepPauseMs(
			settings,
			page.length,
			expired.length,
			randomness.draw(),
		);
	};

	const sweep = async (reportFailure: (err: Error) => void) => {
		try {
			const pauseMs = await sweepPage();
			schedule(pauseMs, reportFailure);
		} catch (err) {
			reportFailure(err as Error);
		}
	};

	const schedule = (pauseMs: number, reportFailure: (err: Error) => void) => {
		if (!isStopped) {
			cancel = clock.callAt(clock.getTime().now + pauseMs, () => {
				sweeping = sweep(reportFailure);
			});
		}
	};

	return {
		name: 'idempotency-sweeper',
		async start(reportFailure) {
			isStopped = false;
			schedule(settings.intervalMs * randomness.draw(), reportFailure);
		},
		async stop() {
			isStopped = true;
			cancel();
			await sweeping;
		},
		getRemovedCount: () => removed,
	};
};

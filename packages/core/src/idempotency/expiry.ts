/** Selects expired rows for removal and throttles the scan of the table. */
import {isExpired} from './lookup.js';
import type {KeyRow, StoredRow} from './row.js';
import {formatObjectName} from './completion.js';

/** A row to remove if it still has this version. */
export type ExpiredRow = {
	readonly key: string;
	readonly version: number;
	/** Object to remove before the row, if any. */
	readonly objectName: string | undefined;
};

/** Settings of the scan for expired rows. */
export type SweepSettings = {
	/** Rows per page. */
	readonly pageRows: number;
	/** Pause after a page with few expired rows. */
	readonly intervalMs: number;
	/** Pause after a page with many expired rows. */
	readonly busyIntervalMs: number;
};

/** Default settings. */
export const defaultSweepSettings: SweepSettings = {
	pageRows: 500,
	intervalMs: 10_000,
	busyIntervalMs: 1000,
};

/** Share of expired rows above which a page counts as busy. */
const busyShare = 0.1;

/** A terminated holder may have stored an object without recording it. */
const getObjectName = (row: KeyRow): string | undefined => {
	switch (row.state) {
		case 'started': {
			return formatObjectName(row.holder.operationId);
		}

		case 'finished': {
			return row.answer.kind === 'object' ? row.answer.name : undefined;
		}

		case 'released':
		case 'unknown': {
			return undefined;
		}
	}
};

/**
 * Lists rows that are expired by the clocks of all entries. Rows that cannot be
 * parsed are kept for an operator to inspect.
 */
export const listExpired = (
	page: ReadonlyArray<readonly [key: string, stored: StoredRow]>,
	date: number,
	clockSkewMs: number,
): ExpiredRow[] =>
	page.flatMap(([key, {version, row}]) =>
		row !== undefined && isExpired(row, date, 2 * clockSkewMs)
			? [{key, version, objectName: getObjectName(row)}]
			: [],
	);

/** Returns the pause before the next page; `random` is from 0 to 1. */
export const getSweepPauseMs = (
	settings: SweepSettings,
	rows: number,
	expired: number,
	random: number,
): number => {
	const isBusy = expired > rows * busyShare;
	const pauseMs = isBusy ? settings.busyIntervalMs : settings.intervalMs;
	return pauseMs * (0.5 + random);
};

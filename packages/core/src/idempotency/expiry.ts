/** Which rows may be removed, and how soon to look for more. */
import {isExpired} from './lookup.js';
import type {KeyRow, StoredRow} from './row.js';
import {formatObjectName} from './completion.js';

/** A row to remove, on condition of its version. */
export type ExpiredRow = {
	readonly key: string;
	readonly version: number;
	/** Object to remove before the row. */
	readonly objectName: string | undefined;
};

/** How rows are looked through. */
export type SweepSettings = {
	/** Rows read at once. */
	readonly pageRows: number;
	/** Pause between pages with little to remove. */
	readonly intervalMs: number;
	/** Pause between pages with much to remove. */
	readonly busyIntervalMs: number;
};

/** Settings where the operator gives none. */
export const defaultSweepSettings: SweepSettings = {
	pageRows: 500,
	intervalMs: 10_000,
	busyIntervalMs: 1000,
};

/** Share of a page above which the next page is read sooner. */
const busyShare = 0.1;

/** A holder that died may have put an answer without having written so. */
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
 * Rows that no entry's clock lets anyone use any more. Rows that cannot be
 * understood stay, for an operator to look at.
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

/** Pause before the next page; `drawn` is a random number from 0 to 1. */
export const getSweepPauseMs = (
	settings: SweepSettings,
	rows: number,
	expired: number,
	drawn: number,
): number => {
	const isBusy = expired > rows * busyShare;
	const pauseMs = isBusy ? settings.busyIntervalMs : settings.intervalMs;
	return pauseMs * (0.5 + drawn);
};

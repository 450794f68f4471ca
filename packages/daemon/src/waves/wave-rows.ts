/** Reads waves from the table service. */
import {budget, succeed, waves, type Result, type View} from '@gullstand/core';
import type {Row, StoreError, TableService} from '@gullstand/ports';
import {readTable} from '../view/tables.js';
import {getServicesByPool} from './ledger-cache.js';

/** A wave with its header, rack rows and progress. */
export type LoadedWave = {
	header: budget.Versioned<waves.Wave>;
	readonly rows: Map<string, budget.Versioned<waves.WaveDomain>>;
	readonly progress: waves.Progress;
};

const toWave = (row: Row): budget.Versioned<waves.Wave> => ({
	value: row.value as unknown as waves.Wave,
	version: row.version,
});

/** Reads the headers of all waves. */
export const readWaves = async (
	table: TableService,
): Promise<Result<ReadonlyArray<budget.Versioned<waves.Wave>>, StoreError>> => {
	const rows = await readTable(table, budget.tables.waves);
	return rows.ok ? succeed(rows.value.map((row) => toWave(row))) : rows;
};

/** Reads the header of one wave; undefined if there is none. */
export const readWave = async (
	table: TableService,
	id: string,
): Promise<Result<budget.Versioned<waves.Wave> | undefined, StoreError>> => {
	const row = await table.get(budget.tables.waves, id);
	return row.ok ? succeed(row.value && toWave(row.value)) : row;
};

/** Reads a wave's rack rows and builds its progress. */
export const loadWave = async (
	table: TableService,
	header: budget.Versioned<waves.Wave>,
	view: View,
): Promise<Result<LoadedWave, StoreError>> => {
	const read = await readTable(
		table,
		budget.tables.waveDomains,
		waves.getDomainRowKey(header.value.rows, ''),
	);
	if (!read.ok) {
		return read;
	}

	const rows = new Map(
		read.value.map(({value, version}) => {
			const domain = value as unknown as waves.WaveDomain;
			return [domain.domain, {value: domain, version}];
		}),
	);
	const progress = waves.createProgress(
		header.value,
		[...rows.values()].map(({value}) => value),
		(id) => view.instances.get(id)?.pool ?? '',
		getServicesByPool(view),
	);
	return succeed({header, rows, progress});
};

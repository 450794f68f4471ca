/**
 * How the view lies in the table service: one row an object, one counter row
 * that every change moves on in the same transaction.
 */
import {
	fail,
	succeed,
	type Contract,
	type Instance,
	type Result,
	type Service,
	type View,
} from '@gullstand/core';
import type {
	Committed,
	JsonValue,
	Precondition,
	Row,
	StoreError,
	TableService,
} from '@gullstand/platform';

/** Tables that the view is read from. */
export const viewTables = {
	contract: 'contract',
	service: 'service',
	instance: 'instance',
} as const;

/** Name of a table of the view. */
export type ViewTable = keyof typeof viewTables;

const counterTable = 'counter';

const counterKey = 'view';

const pageSize = 500;

/** Reads every row of a table, page by page. */
export const readTable = async (
	table: TableService,
	name: string,
): Promise<Result<readonly Row[], StoreError>> => {
	const rows: Row[] = [];
	for (;;) {
		const last = rows.at(-1)?.key;
		const page = await table.range({
			table: name,
			prefix: '',
			limit: pageSize,
			...(last !== undefined && {after: last}),
		});
		if (!page.ok) {
			return page;
		}

		rows.push(...page.value);
		if (page.value.length < pageSize) {
			return succeed(rows);
		}
	}
};

const readCounter = async (table: TableService) =>
	table.get(counterTable, counterKey);

const getRevision = (row: Row | undefined): number =>
	typeof row?.value === 'number' ? row.value : 0;

/** Reads the revision of the newest committed change. */
export const readRevision = async (
	table: TableService,
): Promise<Result<number, StoreError>> => {
	const row = await readCounter(table);
	return row.ok ? succeed(getRevision(row.value)) : row;
};

const toMap = <Value>(rows: readonly Row[]): ReadonlyMap<string, Value> =>
	new Map(rows.map((row) => [row.key, row.value as Value]));

/** Reads a view whose revision did not move while it was read. */
export const readView = async (
	table: TableService,
): Promise<Result<View, StoreError>> => {
	for (;;) {
		const before = await readRevision(table);
		const contracts = await readTable(table, viewTables.contract);
		const services = await readTable(table, viewTables.service);
		const instances = await readTable(table, viewTables.instance);
		const after = await readRevision(table);
		const failed = [before, contracts, services, instances, after].find(
			(each) => !each.ok,
		);
		if (failed && !failed.ok) {
			return failed;
		}

		if (
			before.ok &&
			contracts.ok &&
			services.ok &&
			instances.ok &&
			after.ok &&
			before.value === after.value
		) {
			return succeed({
				revision: after.value,
				contracts: toMap<Contract>(contracts.value),
				services: toMap<Service>(services.value),
				instances: toMap<Instance>(instances.value),
			});
		}
	}
};

/** One object to write; `undefined` deletes it. */
export type ViewChange = {
	readonly table: ViewTable;
	readonly key: string;
	readonly value: JsonValue | undefined;
	readonly when: Precondition;
};

/** Commits a change and moves the revision on; conflicts are the caller's. */
export const commitChange = async (
	table: TableService,
	changes: readonly ViewChange[],
	operationId: string,
): Promise<Result<Committed & {readonly revision: number}, StoreError>> => {
	const counter = await readCounter(table);
	if (!counter.ok) {
		return counter;
	}

	const revision = getRevision(counter.value) + 1;
	const committed = await table.commit(
		[
			...changes.map(({table: name, key, value, when}) =>
				value === undefined
					? ({kind: 'delete', table: viewTables[name], key, when} as const)
					: ({kind: 'put', table: viewTables[name], key, value, when} as const),
			),
			{
				kind: 'put',
				table: counterTable,
				key: counterKey,
				value: revision,
				when: counter.value
					? {kind: 'version', version: counter.value.version}
					: {kind: 'absent'},
			},
		],
		operationId,
	);
	if (committed.ok) {
		return succeed({...committed.value, revision});
	}

	const {error} = committed;
	const isRace = error.kind === 'conflict' && error.table === counterTable;
	return isRace ? commitChange(table, changes, operationId) : fail(error);
};

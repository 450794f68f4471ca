/**
 * Layout of the view in the table service: one row per object, one counter row
 * that every change increments, and one immutable row per change.
 * Source: docs/design/platform-port.md.
 */
import * as core from '@gullstand/core';
import type {
	Contract,
	followedView,
	Instance,
	Result,
	Service,
	viewChange,
} from '@gullstand/core';
import type {JsonValue, Row, StoreError, TableService} from '@gullstand/ports';

/** Tables of the view's objects. */
export const viewTables = {
	contract: 'contract',
	service: 'service',
	instance: 'instance',
} as const;

/** Name of a table of the view. */
export type ViewTable = keyof typeof viewTables;

/** The row that every change increments. */
export const counterRow = {
	table: core.agreementTables.counter,
	key: core.singleRowKey,
} as const;

/** Table of the change log, one row per revision. */
export const changeTable = 'change';

/** Value of the counter row. */
export type Counter = {
	/** Revision of the newest committed change; 0 before the first. */
	readonly revision: number;
	/** Id of that change; empty before the first. */
	readonly deltaId: string;
};

/** The counter and the version of its row; undefined if there is no row. */
export type CounterRead = Counter & {readonly version: number | undefined};

const pageSize = 500;

const revisionDigits = 12;

/** Key of a change; keys sort in the order of revisions. */
export const getChangeKey = (revision: number): string =>
	String(revision).padStart(revisionDigits, '0');

/** Reads every row of a table whose key has the prefix, page by page. */
export const readTable = async (
	table: TableService,
	name: string,
	prefix = '',
): Promise<Result<readonly Row[], StoreError>> => {
	const rows: Row[] = [];
	for (;;) {
		const last = rows.at(-1)?.key;
		const page = await table.range({
			table: name,
			prefix,
			limit: pageSize,
			...(last !== undefined && {after: last}),
		});
		if (!page.ok) {
			return page;
		}

		rows.push(...page.value);
		if (page.value.length < pageSize) {
			return core.succeed(rows);
		}
	}
};

/** Reads the counter row. */
export const readCounter = async (
	table: TableService,
): Promise<Result<CounterRead, StoreError>> => {
	const row = await table.get(counterRow.table, counterRow.key);
	if (!row.ok) {
		return row;
	}

	const counter = row.value?.value as unknown as Counter | undefined;
	return core.succeed({
		revision: counter?.revision ?? 0,
		deltaId: counter?.deltaId ?? '',
		version: row.value?.version,
	});
};

/** Reads the revision of the newest committed change. */
export const readRevision = async (
	table: TableService,
): Promise<Result<number, StoreError>> => {
	const counter = await readCounter(table);
	return counter.ok ? core.succeed(counter.value.revision) : counter;
};

/** Reads changes after a revision, oldest first, at most one page. */
export const readChanges = async (
	table: TableService,
	after: number,
	limit = pageSize,
): Promise<Result<readonly viewChange.ViewDelta[], StoreError>> => {
	const rows = await table.range({
		table: changeTable,
		prefix: '',
		after: getChangeKey(after),
		limit,
	});
	return rows.ok
		? core.succeed(
				rows.value.map(({value}) => value as unknown as viewChange.ViewDelta),
			)
		: rows;
};

const toMap = <Value>(rows: readonly Row[]): ReadonlyMap<string, Value> =>
	new Map(rows.map((row) => [row.key, row.value as Value]));

const readObjects = async (
	table: TableService,
	{revision, deltaId}: Counter,
): Promise<Result<followedView.FollowedView, StoreError>> => {
	const contracts = await readTable(table, viewTables.contract);
	const services = await readTable(table, viewTables.service);
	const instances = await readTable(table, viewTables.instance);
	if (!contracts.ok) {
		return contracts;
	}

	if (!services.ok) {
		return services;
	}

	if (!instances.ok) {
		return instances;
	}

	return core.succeed({
		deltaId,
		view: {
			revision,
			contracts: toMap<Contract>(contracts.value),
			services: toMap<Service>(services.value),
			instances: toMap<Instance>(instances.value),
		},
	});
};

const maxReadAttempts = 5;

/**
 * Reads a consistent view, one whose revision did not change during the read.
 * Fails as `unavailable` if it changed in each attempt.
 */
export const readView = async (
	table: TableService,
): Promise<Result<followedView.FollowedView, StoreError>> => {
	for (let attempts = 0; attempts < maxReadAttempts; attempts += 1) {
		const before = await readCounter(table);
		if (!before.ok) {
			return before;
		}

		const read = await readObjects(table, before.value);
		const after = await readCounter(table);
		if (!after.ok) {
			return after;
		}

		if (!read.ok || before.value.version === after.value.version) {
			return read;
		}
	}

	return core.fail({kind: 'unavailable'});
};

/** Casts a value to the JSON type of the table service. */
export const toJson = (value: unknown): JsonValue => value as JsonValue;

/**
 * Commits a change of the view: object rows, revision counter and change log in
 * one transaction, with read-back when a reply is lost.
 */
import * as core from '@gullstand/core';
import type {followedView, Result, viewChange} from '@gullstand/core';
import {
	client,
	type CommitResult,
	type JsonValue,
	type Precondition,
	type StoreError,
	type TableService,
	type Write,
} from '@gullstand/ports';
import {createEnvironment} from './environment.js';
import {
	changeTable,
	counterRow,
	getChangeKey,
	readCounter,
	toJson,
	viewTables,
	type CounterRead,
	type ViewTable,
} from './tables.js';

/** One object to write; `undefined` deletes it. */
export type ViewChange = {
	readonly table: ViewTable;
	readonly key: string;
	readonly value: JsonValue | undefined;
	readonly when: Precondition;
};

/** Options of a change. */
export type ChangeOptions = {
	/** Who requested the change; stored in the change log. */
	readonly author?: string;
	/** Writes and conditions outside the view, in the same transaction. */
	readonly extraWrites?: readonly Write[];
	/**
	 * The view that the change was decided on. A store that is behind this view
	 * is refused: a change there would be lost or would fork the history.
	 */
	readonly known?: followedView.FollowedView;
	/** Refuses the change if any object changed since `known`. */
	readonly mustBeNewest?: boolean;
	readonly env?: client.Environment;
	/** Time limit for resolving an unknown outcome, in milliseconds. */
	readonly maxMs?: number;
};

/** A committed change; `versions` is empty if it was found by read-back. */
export type CommittedChange = CommitResult & {
	readonly revision: number;
	readonly delta: viewChange.ViewDelta;
};

const defaultMaxMs = 10_000;

const maxRevisionRaces = 100;

const toWrite = ({table, key, value, when}: ViewChange): Write =>
	value === undefined
		? {kind: 'delete', table: viewTables[table], key, when}
		: {kind: 'put', table: viewTables[table], key, value, when};

const toPut = (table: ViewTable, value: JsonValue): viewChange.ViewChange => {
	const object = value as never;
	switch (table) {
		case 'contract': {
			return {kind: 'put-contract', contract: object};
		}

		case 'service': {
			return {kind: 'put-service', service: object};
		}

		case 'instance': {
			return {kind: 'put-instance', instance: object};
		}
	}
};

const toDelete = (table: ViewTable, key: string): viewChange.ViewChange => {
	switch (table) {
		case 'contract': {
			return {kind: 'delete-contract', customer: key};
		}

		case 'service': {
			return {kind: 'delete-service', name: key};
		}

		case 'instance': {
			return {kind: 'delete-instance', id: key};
		}
	}
};

const toDelta = (
	changes: readonly ViewChange[],
	counter: CounterRead,
	id: string,
	author: string,
): viewChange.ViewDelta => ({
	revision: counter.revision + 1,
	id,
	previousId: counter.deltaId,
	author,
	committedAt: Date.now(),
	changes: changes.map(({table, key, value}) =>
		value === undefined ? toDelete(table, key) : toPut(table, value),
	),
});

const createRevisionWrites = (
	delta: viewChange.ViewDelta,
	counter: CounterRead,
): Write[] => [
	{
		kind: 'put',
		...counterRow,
		value: {revision: delta.revision, deltaId: delta.id},
		when:
			counter.version === undefined
				? {kind: 'absent'}
				: {kind: 'version', version: counter.version},
	},
	{
		kind: 'put',
		table: changeTable,
		key: getChangeKey(delta.revision),
		value: toJson(delta),
		when: {kind: 'absent'},
	},
];

const isBehind = (
	{revision, deltaId}: CounterRead,
	known: followedView.FollowedView,
): boolean =>
	revision < known.view.revision ||
	(revision === known.view.revision && deltaId !== known.deltaId);

const findRefusal = (
	counter: CounterRead,
	{known, mustBeNewest}: ChangeOptions,
): StoreError | undefined => {
	if (!known) {
		return undefined;
	}

	if (isBehind(counter, known)) {
		return {kind: 'unavailable'};
	}

	return mustBeNewest && counter.revision > known.view.revision
		? {kind: 'conflict', ...counterRow, current: undefined}
		: undefined;
};

const toError = (
	outcome: Exclude<client.CommitOutcome, {kind: 'committed'}>,
): StoreError => {
	switch (outcome.kind) {
		case 'conflict': {
			return outcome;
		}

		case 'not-committed': {
			return {kind: outcome.reason};
		}

		case 'unknown': {
			return {kind: 'timeout'};
		}
	}
};

const isRevisionRace = (error: StoreError): boolean =>
	error.kind === 'conflict' &&
	(error.table === counterRow.table || error.table === changeTable);

/** Inputs of an attempt to commit a change. */
type Attempt = {
	readonly table: TableService;
	readonly changes: readonly ViewChange[];
	readonly operationId: string;
	readonly options: ChangeOptions;
	readonly env: client.Environment;
	readonly deadline: number;
};

const tryCommit = async (
	{table, changes, operationId, options, env, deadline}: Attempt,
	counter: CounterRead,
): Promise<Result<CommittedChange, StoreError>> => {
	const author = options.author ?? 'system';
	const delta = toDelta(changes, counter, operationId, author);
	const outcome = await client.commitWithReadBack(
		table,
		{
			id: operationId,
			writes: [
				...changes.map((change) => toWrite(change)),
				...(options.extraWrites ?? []),
				...createRevisionWrites(delta, counter),
			],
			witness: {table: changeTable, key: getChangeKey(delta.revision)},
		},
		{env, deadline},
	);
	return outcome.kind === 'committed'
		? core.succeed({
				versions: outcome.versions ?? [],
				revision: delta.revision,
				delta,
			})
		: core.fail(toError(outcome));
};

/**
 * Commits a change and increments the revision. Retries after a race for the
 * revision with a change of other objects; returns a conflict on an object to
 * the caller. `timeout` means that the outcome stayed unknown.
 */
export const commitChange = async (
	table: TableService,
	changes: readonly ViewChange[],
	operationId: string,
	options: ChangeOptions = {},
): Promise<Result<CommittedChange, StoreError>> => {
	const env = options.env ?? createEnvironment();
	const deadline = env.now() + (options.maxMs ?? defaultMaxMs);
	const attempt = {table, changes, operationId, options, env, deadline};
	let last: StoreError = {kind: 'unavailable'};
	for (
		let races = 0;
		races < maxRevisionRaces && env.now() < deadline;
		races += 1
	) {
		const counter = await readCounter(table);
		if (!counter.ok) {
			return core.fail({kind: 'unavailable'});
		}

		const refusal = findRefusal(counter.value, options);
		if (refusal) {
			return core.fail(refusal);
		}

		const result = await tryCommit(attempt, counter.value);
		if (result.ok || !isRevisionRace(result.error)) {
			return result;
		}

		last = result.error;
	}

	return core.fail(last.kind === 'conflict' ? {kind: 'unavailable'} : last);
};

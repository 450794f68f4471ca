/** Reads moves and commits their steps as changes of the view. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {
	followedView,
	Instance,
	move,
	Result,
	viewChange,
} from '@gullstand/core';
import type {StoreError, TableService, Write} from '@gullstand/ports';
import {commitChange} from '../view/commit-change.js';
import {readTable, toJson} from '../view/tables.js';

const {move: moveTable} = core.agreementTables;

const toMoveWrite = (step: move.MoveCommit): Write => {
	const row = {
		table: moveTable,
		key: step.instance.id,
		when: step.movePrecondition,
	};
	return step.move
		? {kind: 'put', ...row, value: toJson(step.move)}
		: {kind: 'delete', ...row};
};

/** Author of a step and the view that it was decided on. */
export type StepOptions = {
	readonly author: string;
	readonly known: followedView.FollowedView;
	/** Refuses the step if any object changed since `known`. */
	readonly mustBeNewest?: boolean;
};

/** Commits one step together with its conditions in one transaction. */
export const commitStep = async (
	table: TableService,
	step: move.MoveCommit,
	options: StepOptions,
): Promise<Result<viewChange.ViewDelta, StoreError>> => {
	const committed = await commitChange(
		table,
		[
			{
				table: 'instance',
				key: step.instance.id,
				value: toJson(step.instance),
				when: {kind: 'version', version: step.instanceVersion},
			},
		],
		randomUUID(),
		{...options, extraWrites: [toMoveWrite(step), ...step.conditions]},
	);
	return committed.ok ? core.succeed(committed.value.delta) : committed;
};

/** Reads an instance row. */
export const readInstance = async (
	table: TableService,
	id: string,
): Promise<Result<move.ReadRow<Instance> | undefined, StoreError>> => {
	const row = await table.get('instance', id);
	if (!row.ok) {
		return row;
	}

	const value = row.value?.value as unknown as Instance;
	return core.succeed(row.value && {value, version: row.value.version});
};

/** Reads all moves in progress. */
export const readMoves = async (
	table: TableService,
): Promise<Result<ReadonlyArray<move.ReadRow<move.Move>>, StoreError>> => {
	const rows = await readTable(table, moveTable);
	return rows.ok
		? core.succeed(
				rows.value.map(({value, version}) => ({
					value: value as unknown as move.Move,
					version,
				})),
			)
		: rows;
};

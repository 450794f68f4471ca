/** What a kind of object tells of itself. */
import type {z} from 'zod';
import type {Result, View, viewChange} from '@gullstand/core';
import type {ViewTable} from '../../view/tables.js';

/** Why a field cannot be as it was sent. */
export type FieldFault = {readonly field: string; readonly message: string};

/** A kind of object. */
export type ObjectDomain<Value> = {
	/** Singular name and table; the path is its plural. */
	readonly name: ViewTable;
	readonly schema: z.ZodType<Value>;
	readonly getKey: (value: Value) => string;
	readonly getAll: (view: View) => ReadonlyMap<string, Value>;
	readonly createPut: (value: Value) => viewChange.ViewChange;
	readonly createDelete: (key: string) => viewChange.ViewChange;
	/** Makes what is stored of what was sent, or refuses. */
	readonly prepare?: (
		sent: Value,
		current: Value | undefined,
	) => Result<Value, readonly FieldFault[]>;
	/** Refuses a deletion for reasons that no contract knows. */
	readonly checkDelete?: (current: Value) => readonly FieldFault[];
};

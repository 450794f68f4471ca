/** Types of the kinds of objects that operators change. */
import type {z} from 'zod';
import type {Result, View, viewChange} from '@gullstand/core';
import type {ViewTable} from '../../view/tables.js';

/** A field with an invalid value and the reason. */
export type FieldFault = {readonly field: string; readonly message: string};

/** Definition of one kind of object. */
export type ObjectDomain<Value> = {
	/** Name of the kind and its table; the path uses the plural. */
	readonly name: ViewTable;
	readonly schema: z.ZodType<Value>;
	readonly getKey: (value: Value) => string;
	readonly getAll: (view: View) => ReadonlyMap<string, Value>;
	readonly createPut: (value: Value) => viewChange.ViewChange;
	readonly createDelete: (key: string) => viewChange.ViewChange;
	/** Converts a sent value to the stored value, or refuses it. */
	readonly prepare?: (
		sent: Value,
		current: Value | undefined,
	) => Result<Value, readonly FieldFault[]>;
	/** Lists faults that prevent a deletion, apart from contract terms. */
	readonly checkDelete?: (current: Value) => readonly FieldFault[];
};

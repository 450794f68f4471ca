/** A value or a typed error, for calls whose failure is ordinary. */

/** Either `ok` with a value or not, with an error. */
export type Result<Value, Failure> =
	| {readonly ok: true; readonly value: Value}
	| {readonly ok: false; readonly error: Failure};

/** Wraps a value. */
export const succeed = <Value>(value: Value) => ({ok: true, value}) as const;

/** Wraps an error. */
export const fail = <Failure>(error: Failure) => ({ok: false, error}) as const;

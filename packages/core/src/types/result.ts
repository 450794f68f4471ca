/** A value or a typed error, for calls that are expected to fail at times. */

/** Either a success with a value or a failure with an error. */
export type Result<Value, Failure> =
	| {readonly ok: true; readonly value: Value}
	| {readonly ok: false; readonly error: Failure};

/** Creates a successful result. */
export const succeed = <Value>(value: Value) => ({ok: true, value}) as const;

/** Creates a failed result. */
export const fail = <Failure>(error: Failure) => ({ok: false, error}) as const;

/** Port to the platform's object store. */
import type {Result} from '@gullstand/core';

/** Why a call failed. After `timeout` a put may have taken effect. */
export type ObjectError =
	| {readonly kind: 'unavailable'}
	| {readonly kind: 'timeout'}
	| {readonly kind: 'too-large'};

/** Stores whole objects by name; the last put wins. */
export type ObjectStore = {
	readonly get: (
		name: string,
	) => Promise<Result<Uint8Array | undefined, ObjectError>>;
	readonly put: (
		name: string,
		body: Uint8Array,
	) => Promise<Result<void, ObjectError>>;
	readonly delete: (name: string) => Promise<Result<void, ObjectError>>;
};

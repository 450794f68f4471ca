/** Object store in memory, for the embedded daemon, tests and benches. */
import * as core from '@gullstand/core';
import type {ObjectStore} from '../ports/object-store.js';

const defaultMaxObjectBytes = 64 * 1024 * 1024;

/** Creates an empty object store, which refuses larger objects. */
export const createMemoryObjectStore = (
	maxObjectBytes: number = defaultMaxObjectBytes,
): ObjectStore => {
	const objects = new Map<string, Uint8Array>();
	return {
		async get(name) {
			const body = objects.get(name);
			return core.succeed(body && Uint8Array.from(body));
		},
		async put(name, body) {
			if (body.byteLength > maxObjectBytes) {
				return core.fail({kind: 'too-large'});
			}

			objects.set(name, Uint8Array.from(body));
			return core.succeed(undefined);
		},
		async delete(name) {
			objects.delete(name);
			return core.succeed(undefined);
		},
	};
};

/** Table service and object store behind a guard. */
import type {Result} from '@gullstand/core';
import type {ObjectStore} from '../ports/object-store.js';
import type {
	Row,
	StoreError,
	TableService,
	Write,
} from '../ports/table-service.js';
import type {Guard} from './guarded-call.js';

/** Rows put or deleted; a check costs one token when it stands alone. */
export const countWriteTokens = (writes: readonly Write[]): number =>
	Math.max(1, writes.filter(({kind}) => kind !== 'check').length);

type Read = Promise<Result<Row | undefined, StoreError>>;

/**
 * A table service whose calls pass the guard. Gets of one row that overlap
 * share one call.
 */
export const createGuardedTableService = (
	inner: TableService,
	guard: Guard,
): TableService => {
	const pending = new Map<string, Read>();
	const read = async (name: string, table: string, key: string): Read => {
		try {
			return await guard.call('reads', 1, async () => inner.get(table, key));
		} finally {
			pending.delete(name);
		}
	};

	return {
		async get(table, key) {
			const name = JSON.stringify([table, key]);
			const known = pending.get(name);
			if (known) {
				return known;
			}

			const started = read(name, table, key);
			pending.set(name, started);
			return started;
		},
		range: async (query) =>
			guard.call('reads', 1, async () => inner.range(query)),
		commit: async (writes, operationId) =>
			guard.call('writes', countWriteTokens(writes), async () =>
				inner.commit(writes, operationId),
			),
	};
};

/** An object store whose calls pass the guard. */
export const createGuardedObjectStore = (
	inner: ObjectStore,
	guard: Guard,
): ObjectStore => ({
	get: async (name) => guard.call('reads', 1, async () => inner.get(name)),
	put: async (name, body) =>
		guard.call('writes', 1, async () => inner.put(name, body)),
	delete: async (name) =>
		guard.call('writes', 1, async () => inner.delete(name)),
});

/** Table service and object store behind a guard. */
import type {ObjectStore} from '../ports/object-store.js';
import type {TableService, Write} from '../ports/table-service.js';
import type {Guard} from './guarded-call.js';

/** Rows put or deleted; a check costs one token when it stands alone. */
export const countWriteTokens = (writes: readonly Write[]): number =>
	Math.max(1, writes.filter(({kind}) => kind !== 'check').length);

/**
 * A table service whose calls pass the guard. Overlapping gets of one row are
 * not shared: a read that began before a write would answer one after it.
 */
export const createGuardedTableService = (
	inner: TableService,
	guard: Guard,
): TableService => ({
	get: async (table, key) =>
		guard.call('reads', 1, async () => inner.get(table, key)),
	range: async (query) =>
		guard.call('reads', 1, async () => inner.range(query)),
	commit: async (writes, operationId) =>
		guard.call('writes', countWriteTokens(writes), async () =>
			inner.commit(writes, operationId),
		),
});

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

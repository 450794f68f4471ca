/** Wraps the table service and the object store with a guard. */
import type {ObjectStore} from '../ports/object-store.js';
import type {TableService, Write} from '../ports/table-service.js';
import type {Guard} from './guarded-call.js';

/** Returns the number of writes that a transaction counts as. */
export type CountWrites = (writes: readonly Write[]) => number;

/** Counts one per transaction, for a store that limits transactions. */
export const countTransactions: CountWrites = () => 1;

/** Counts one per row put or deleted, for a store that limits rows. */
export const countRows: CountWrites = (writes) =>
	Math.max(1, writes.filter(({kind}) => kind !== 'check').length);

/**
 * Wraps a table service with a guard. Concurrent gets of one row are not merged,
 * since a get after a write could receive the result of a read before it.
 */
export const createGuardedTableService = (
	inner: TableService,
	guard: Guard,
	countWrites: CountWrites = countTransactions,
): TableService => ({
	get: async (table, key) =>
		guard.call('reads', 1, async () => inner.get(table, key)),
	range: async (query) =>
		guard.call('reads', 1, async () => inner.range(query)),
	commit: async (writes, operationId) =>
		guard.call('writes', countWrites(writes), async () =>
			inner.commit(writes, operationId),
		),
});

/** Wraps an object store with a guard. */
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

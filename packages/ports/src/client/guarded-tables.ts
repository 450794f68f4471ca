/** Table service and object store behind a guard. */
import type {ObjectStore} from '../ports/object-store.js';
import type {TableService, Write} from '../ports/table-service.js';
import type {Guard} from './guarded-call.js';

/** What one transaction takes from the budget of writes. */
export type CountWrites = (writes: readonly Write[]) => number;

/** One a transaction, for a store whose rate counts transactions. */
export const countTransactions: CountWrites = () => 1;

/** One a row put or deleted, for a store whose rate counts rows. */
export const countRows: CountWrites = (writes) =>
	Math.max(1, writes.filter(({kind}) => kind !== 'check').length);

/**
 * A table service whose calls pass the guard. Overlapping gets of one row are
 * not shared: a read that began before a write would answer one after it.
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

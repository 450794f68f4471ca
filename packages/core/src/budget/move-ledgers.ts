/**
 * Ledgers of a move between pools. Its start books the instance away like a
 * take (`bookAway`, with `moveWave`); its end takes the instance out of the old
 * pool's ledgers and into the new one's, in the transaction of `commitMove`.
 * Source: spec/ledger.pml (move_counts, move_ledgers).
 */
import type {Instance} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';
import {
	listLedgerServices,
	createLedgerPut,
	removeEntry,
	updateEntry,
	type Ledger,
	type Ledgers,
	type ServicesByPool,
} from './ledger.js';
import type {RowPut} from './row-write.js';

/** The wave that a move books its instance under: none. */
export const noWaveId = '';

/** A move that ends. */
export type MoveLedgersRequest = {
	/** The row before the move ends, still in the old pool. */
	readonly instance: Instance;
	readonly to: string;
	readonly ledgers: Ledgers;
	readonly servicesByPool: ServicesByPool;
};

/** The ledgers of both pools once the instance serves in the new one. */
export const moveLedgers = ({
	instance,
	to,
	ledgers,
	servicesByPool,
}: MoveLedgersRequest): Result<
	ReadonlyArray<RowPut<Ledger>>,
	{readonly kind: 'no-ledger'; readonly service: string}
> => {
	const before = listLedgerServices(instance, servicesByPool);
	const after = listLedgerServices({...instance, pool: to}, servicesByPool);
	const writes: Array<RowPut<Ledger>> = [];
	for (const service of new Set([...before, ...after])) {
		const read = ledgers.get(service);
		if (!read) {
			return fail({kind: 'no-ledger', service});
		}

		const changed = after.includes(service)
			? updateEntry(read.value, instance.id, {kind: 'serving'})
			: removeEntry(read.value, instance.id);
		writes.push(createLedgerPut(changed, read.version));
	}

	return succeed(writes);
};

/**
 * Ledger changes of a move between pools. The start of a move withdraws the
 * instance (`withdrawInLedgers` with `noWaveId`); its end removes the instance
 * from the ledgers of the old pool and adds it to those of the new pool, in the
 * transaction of `commitMove`.
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

/** Wave id of withdrawals that belong to no wave, such as those of moves. */
export const noWaveId = '';

/** Input for the ledger changes at the end of a move. */
export type MoveLedgersRequest = {
	/** Instance before the move ends, still in the old pool. */
	readonly instance: Instance;
	readonly to: string;
	readonly ledgers: Ledgers;
	readonly servicesByPool: ServicesByPool;
};

/**
 * Creates the writes to the ledgers of both pools. Fails if a ledger is
 * missing.
 */
export const moveLedgers = ({
	instance,
	to,
	ledgers,
	servicesByPool,
}: MoveLedgersRequest): Result<
	ReadonlyArray<RowPut<Ledger>>,
	{readonly kind: 'no-ledger'; readonly service: string}
> => {
	const oldServices = listLedgerServices(instance, servicesByPool);
	const newServices = listLedgerServices(
		{...instance, pool: to},
		servicesByPool,
	);
	const writes: Array<RowPut<Ledger>> = [];
	for (const service of new Set([...oldServices, ...newServices])) {
		const ledgerRow = ledgers.get(service);
		if (!ledgerRow) {
			return fail({kind: 'no-ledger', service});
		}

		const changed = newServices.includes(service)
			? updateEntry(ledgerRow.value, instance.id, {kind: 'serving'})
			: removeEntry(ledgerRow.value, instance.id);
		writes.push(createLedgerPut(changed, ledgerRow.version));
	}

	return succeed(writes);
};

/** What became of a take whose reply was lost. */
import type {Instance} from '../types/instance.js';
import type {Ledger} from './ledger.js';

/** Whether a transaction has taken effect. */
export type OperationOutcome =
	| 'committed'
	/** Not yet: the same writes may be sent again, at most one commits. */
	| 'not-committed'
	/** Another writer has changed the row since: plan afresh. */
	| 'superseded';

/** An instance row that is read back after a lost reply. */
export type ReadBack = {
	/** Version that the writes were conditional on. */
	readonly expectedVersion: number;
	readonly version: number;
	/** Id of the write that made the version read. */
	readonly operationId: string;
	readonly instance: Instance;
	/** Ledgers of the services on its pool, read after the instance. */
	readonly ledgers: readonly Ledger[];
};

/**
 * Tells what became of a take. The ledger's entry keeps the operation id for
 * as long as the instance is away, so a later write to the row does not hide
 * an earlier commit.
 */
export const getWithdrawalOutcome = (
	readBack: ReadBack,
	operationId: string,
): OperationOutcome => {
	const isBooked = readBack.ledgers.some((ledger) => {
		const entry = ledger.entries[readBack.instance.id];
		return entry?.kind === 'away' && entry.operationId === operationId;
	});
	if (isBooked || readBack.operationId === operationId) {
		return 'committed';
	}

	return readBack.version === readBack.expectedVersion
		? 'not-committed'
		: 'superseded';
};

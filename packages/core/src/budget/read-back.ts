/** Determines the outcome of a withdrawal whose reply was lost. */
import type {Instance} from '../types/instance.js';
import type {Ledger} from './ledger.js';

/** Outcome of a transaction. */
export type OperationOutcome =
	| 'committed'
	/**
	 * Not committed yet. Sending the same writes again is safe: at most one
	 * attempt commits.
	 */
	| 'not-committed'
	/** Another writer has changed the row: a new plan is needed. */
	| 'superseded';

/** An instance row that is read again after a lost reply. */
export type ReadBack = {
	/** Version on which the lost writes were conditional. */
	readonly expectedVersion: number;
	readonly version: number;
	/** Operation id of the write that produced `version`. */
	readonly operationId: string;
	readonly instance: Instance;
	/** Ledgers of the services on its pool, read after the instance row. */
	readonly ledgers: readonly Ledger[];
};

/**
 * Determines the outcome of a withdrawal. The ledger entry keeps the operation
 * id while the instance is away, so a later write to the instance row does not
 * hide an earlier commit.
 */
export const getWithdrawalOutcome = (
	readBack: ReadBack,
	operationId: string,
): OperationOutcome => {
	const isRecorded = readBack.ledgers.some((ledger) => {
		const entry = ledger.entries[readBack.instance.id];
		return entry?.kind === 'away' && entry.operationId === operationId;
	});
	if (isRecorded || readBack.operationId === operationId) {
		return 'committed';
	}

	return readBack.version === readBack.expectedVersion
		? 'not-committed'
		: 'superseded';
};

/**
 * Returns a withdrawn instance to service and to its budgets, once the instance
 * list shows it as live with a new incarnation and its probes pass.
 */
import type {Instance} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';
import {
	listLedgerServices,
	createLedgerPut,
	updateEntry,
	type Ledger,
	type Ledgers,
	type ServicesByPool,
} from './ledger.js';
import {createTransitionPut, type BudgetChange} from './withdraw-instances.js';
import type {RowPut, Versioned} from './row-write.js';

/** Observations of an instance that is about to return. */
export type ReturnEvidence = {
	readonly listed: 'live' | 'leaving' | 'absent';
	/**
	 * Incarnation that was listed when the instance was withdrawn. Empty if
	 * unknown: then no listed incarnation proves a restart, since the list is
	 * eventually consistent.
	 */
	readonly incarnationBefore: string;
	/** Incarnation that is listed now; empty if the instance is not listed. */
	readonly incarnation: string;
	/** Consecutive successful probes (executor) or probe tasks (worker). */
	readonly probesPassed: number;
};

/** Evidence that an instance must show before it returns. */
export type ReturnSettings = {
	readonly probesNeeded: number;
	/** Whether the maintenance restarts the instance. */
	readonly restarts: boolean;
};

/** Default evidence that an instance must show. */
export const returnDefaults: ReturnSettings = {probesNeeded: 3, restarts: true};

/** Why an instance may not return yet. */
export type ReturnRefusal = {
	readonly kind:
		| 'not-listed'
		| 'not-restarted'
		| 'not-proved'
		| 'not-returning'
		| 'no-ledger';
	readonly instance: string;
};

/** Returns the first condition that the evidence does not meet, if any. */
export const findReturnBlocker = (
	evidence: ReturnEvidence,
	settings: ReturnSettings,
): 'not-listed' | 'not-restarted' | 'not-proved' | undefined => {
	if (evidence.listed !== 'live') {
		return 'not-listed';
	}

	const {incarnation, incarnationBefore} = evidence;
	const isSameIncarnation =
		incarnationBefore === '' || incarnation === incarnationBefore;
	if (settings.restarts && isSameIncarnation) {
		return 'not-restarted';
	}

	return evidence.probesPassed < settings.probesNeeded
		? 'not-proved'
		: undefined;
};

/** Input for the return of one instance, as read from the store. */
export type ReturnRequest = {
	readonly operationId: string;
	readonly instance: Versioned<Instance>;
	readonly ledgers: Ledgers;
	readonly servicesByPool: ServicesByPool;
	readonly evidence: ReturnEvidence;
	readonly settings: ReturnSettings;
};

/**
 * Creates the writes that return the instance row and its ledger entries to
 * `serving`, for one transaction. Fails if evidence is missing, the instance is
 * not `returning`, or a ledger is missing.
 */
export const returnInstance = (
	request: ReturnRequest,
): Result<BudgetChange, ReturnRefusal> => {
	const {instance, ledgers, evidence, settings, operationId} = request;
	const {id} = instance.value;
	const blocker = findReturnBlocker(evidence, settings);
	if (blocker) {
		return fail({kind: blocker, instance: id});
	}

	const write = createTransitionPut(instance, 'finishReturn');
	if (!write) {
		return fail({kind: 'not-returning', instance: id});
	}

	const writes: Array<RowPut<Instance | Ledger>> = [write];
	const services = listLedgerServices(instance.value, request.servicesByPool);
	for (const service of services) {
		const ledgerRow = ledgers.get(service);
		if (!ledgerRow) {
			return fail({kind: 'no-ledger', instance: id});
		}

		const ledger = updateEntry(ledgerRow.value, id, {kind: 'serving'});
		writes.push(createLedgerPut(ledger, ledgerRow.version));
	}

	return succeed({operationId, writes});
};

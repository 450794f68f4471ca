/**
 * Gives an instance back to the budgets that it was taken from: only after
 * the lagging list shows a new life of it as live and it has proved itself.
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

/** What is known of an instance that comes back. */
export type ReturnEvidence = {
	readonly listed: 'live' | 'leaving' | 'absent';
	/**
	 * Life that was listed when the instance was taken. Empty if unknown: then
	 * no life that is listed proves a restart, for the list lags.
	 */
	readonly incarnationBefore: string;
	/** Life that is listed now; empty if it is not listed. */
	readonly incarnation: string;
	/** Probes (executor) or probe tasks (worker) passed in a row. */
	readonly probesPassed: number;
};

/** What an instance must show before it is given back. */
export type ReturnSettings = {
	readonly probesNeeded: number;
	/** False if the maintenance does not restart the instance. */
	readonly restarts: boolean;
};

/** Defaults of `ReturnSettings`. */
export const returnDefaults: ReturnSettings = {probesNeeded: 3, restarts: true};

/** Why an instance is not given back yet. */
export type ReturnRefusal = {
	readonly kind:
		| 'not-listed'
		| 'not-restarted'
		| 'not-proved'
		| 'not-returning'
		| 'no-ledger';
	readonly instance: string;
};

/** What is missing before the instance may be given back, if anything. */
export const findReturnBlocker = (
	evidence: ReturnEvidence,
	settings: ReturnSettings,
): 'not-listed' | 'not-restarted' | 'not-proved' | undefined => {
	if (evidence.listed !== 'live') {
		return 'not-listed';
	}

	const {incarnation, incarnationBefore} = evidence;
	const isSameLife =
		incarnationBefore === '' || incarnation === incarnationBefore;
	if (settings.restarts && isSameLife) {
		return 'not-restarted';
	}

	return evidence.probesPassed < settings.probesNeeded
		? 'not-proved'
		: undefined;
};

/** What is read to give one instance back. */
export type ReturnRequest = {
	readonly operationId: string;
	readonly instance: Versioned<Instance>;
	readonly ledgers: Ledgers;
	readonly servicesByPool: ServicesByPool;
	readonly evidence: ReturnEvidence;
	readonly settings: ReturnSettings;
};

/** Returns the instance row to `serving` and frees its ledgers, as one. */
export const returnInstance = (
	request: ReturnRequest,
): Result<BudgetChange, ReturnRefusal> => {
	const {instance, ledgers, evidence, settings, operationId} = request;
	const {id} = instance.value;
	const missing = findReturnBlocker(evidence, settings);
	if (missing) {
		return fail({kind: missing, instance: id});
	}

	const write = createTransitionPut(instance, 'finishReturn');
	if (!write) {
		return fail({kind: 'not-returning', instance: id});
	}

	const writes: Array<RowPut<Instance | Ledger>> = [write];
	const services = listLedgerServices(instance.value, request.servicesByPool);
	for (const service of services) {
		const read = ledgers.get(service);
		if (!read) {
			return fail({kind: 'no-ledger', instance: id});
		}

		const ledger = updateEntry(read.value, id, {kind: 'serving'});
		writes.push(createLedgerPut(ledger, read.version));
	}

	return succeed({operationId, writes});
};

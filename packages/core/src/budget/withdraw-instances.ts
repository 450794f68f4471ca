/**
 * Takes instances away within every budget that they touch: one transaction
 * of the instance rows and all their ledgers. Each write is conditional on
 * the version read, so of planners that race at most one commits.
 */
import {applyTransition, type Transition} from '../instances/transition.js';
import type {Instance} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';
import {
	listLedgerServices,
	getUsage,
	createLedgerPut,
	updateEntry,
	type Ledger,
	type Ledgers,
	type ServicesByPool,
} from './ledger.js';
import {
	createRowPut,
	tables,
	type RowPut,
	type Versioned,
} from './row-write.js';

/** Why instances may not be taken away now. */
export type BudgetRefusal =
	| {
			readonly kind: 'max-away';
			readonly service: string;
			readonly customer: string;
			readonly maxAway: number;
			readonly planned: number;
			readonly lost: number;
	  }
	| {
			readonly kind: 'keep-executors';
			readonly service: string;
			readonly customer: string;
			readonly keepExecutors: number;
			readonly serving: number;
			readonly reserve: number;
	  }
	| {readonly kind: 'not-serving'; readonly instance: string}
	| {readonly kind: 'no-ledger'; readonly service: string};

/** What is asked to be taken away, with all that was read for it. */
export type WithdrawalRequest = {
	/** Kept in the rows; after a lost reply it tells whether this committed. */
	readonly operationId: string;
	readonly wave: string;
	readonly instances: ReadonlyArray<Versioned<Instance>>;
	readonly ledgers: Ledgers;
	readonly servicesByPool: ServicesByPool;
	/** Executors kept in reserve, by service; absent means none. */
	readonly reserves?: ReadonlyMap<string, number>;
};

/** A change of instances and ledgers, to be committed as one transaction. */
export type BudgetChange = {
	readonly operationId: string;
	readonly writes: ReadonlyArray<RowPut<Instance | Ledger>>;
};

/** The write of an instance's next state, if the transition is allowed. */
export const createTransitionPut = (
	{value, version}: Versioned<Instance>,
	transition: Transition,
): RowPut<Instance> | undefined => {
	const next = applyTransition(value, transition);
	return next.ok
		? createRowPut(tables.instances, value.id, next.value, version)
		: undefined;
};

/** Names the term that refuses one more take, if one does. */
export const getRefusal = (
	ledger: Ledger,
	reserve: number,
): BudgetRefusal | undefined => {
	const {serving, planned, lost} = getUsage(ledger);
	const {terms, service} = ledger;
	if (planned + lost + 1 > terms.maxAway) {
		const {maxAway, maxAwayFor: customer} = terms;
		return {kind: 'max-away', service, customer, maxAway, planned, lost};
	}

	if (serving - 1 - reserve < terms.keepExecutors) {
		const {keepExecutors, keepExecutorsFor: customer} = terms;
		return {
			kind: 'keep-executors',
			service,
			customer,
			keepExecutors,
			serving,
			reserve,
		};
	}

	return undefined;
};

/** Marks one instance away in one ledger, if the budget allows it. */
const takeFromLedger = (
	ledger: Ledger,
	instanceId: string,
	{operationId, wave, reserves}: WithdrawalRequest,
	now: number,
): Result<Ledger, BudgetRefusal> => {
	if (ledger.entries[instanceId]?.kind !== 'serving') {
		return fail({kind: 'not-serving', instance: instanceId});
	}

	const refusal = getRefusal(ledger, reserves?.get(ledger.service) ?? 0);
	return refusal
		? fail(refusal)
		: succeed(
				updateEntry(ledger, instanceId, {
					kind: 'away',
					since: now,
					wave,
					operationId,
				}),
			);
};

/**
 * Books the instances as away in the ledger of every service on their pools;
 * the ledgers alone, for a caller that writes the instances itself.
 */
export const withdrawInLedgers = (
	request: WithdrawalRequest,
	now: number,
): Result<ReadonlyArray<RowPut<Ledger>>, BudgetRefusal> => {
	const changed = new Map<string, Ledger>();
	for (const {value} of request.instances) {
		for (const service of listLedgerServices(value, request.servicesByPool)) {
			const read = request.ledgers.get(service);
			if (!read) {
				return fail({kind: 'no-ledger', service});
			}

			const ledger = changed.get(service) ?? read.value;
			const taken = takeFromLedger(ledger, value.id, request, now);
			if (!taken.ok) {
				return taken;
			}

			changed.set(service, taken.value);
		}
	}

	return succeed(
		[...changed].map(([service, ledger]) =>
			createLedgerPut(ledger, request.ledgers.get(service)!.version),
		),
	);
};

/**
 * Takes all instances of the request away, or none: each becomes `draining`
 * and is booked in the ledger of every service on its pool.
 */
export const withdrawInstances = (
	request: WithdrawalRequest,
	now: number,
): Result<BudgetChange, BudgetRefusal> => {
	const writes: Array<RowPut<Instance>> = [];
	for (const instance of request.instances) {
		const write = createTransitionPut(instance, 'startDrain');
		if (!write) {
			return fail({kind: 'not-serving', instance: instance.value.id});
		}

		writes.push(write);
	}

	const booked = withdrawInLedgers(request, now);
	return booked.ok
		? succeed({
				operationId: request.operationId,
				writes: [...writes, ...booked.value],
			})
		: booked;
};

/**
 * Validates a contract before it is accepted: its fields, and whether the pools
 * can satisfy it together with the existing contracts.
 */
import type {Contract, JobTerms, ServiceTerms} from '../types/contract.js';
import type {View} from '../types/view.js';
import {groupByPool} from '../view/view-index.js';
import {findMalformedFields} from './contract-validation.js';
import {listServiceTerms, type ContractValue} from './service-promise.js';

/** Measured capacity of the fleet; unknown parts are left out. */
export type MeasuredCapacity = {
	/** Requests per second that one executor of a service answers in time. */
	readonly executorRates?: ReadonlyMap<string, number>;
	/** Totals of all workers. */
	readonly workers?: Pick<JobTerms, 'cores' | 'memoryMb' | 'accelerators'>;
};

/** Why a contract cannot be accepted. */
export type ContractProblem =
	| {readonly kind: 'malformed'; readonly field: string}
	| {readonly kind: 'unknown-service'; readonly service: string}
	/** A caller's token is already used by another customer. */
	| {
			readonly kind: 'token-taken';
			readonly index: number;
			readonly customer: string;
	  }
	/** The contract requires more executors than the pool has. */
	| {
			readonly kind: 'pool-too-small';
			readonly service: string;
			readonly pool: string;
			readonly needed: number;
			readonly executors: number;
	  }
	/** The total rate exceeds the capacity of the executors kept in service. */
	| {
			readonly kind: 'rate-too-high';
			readonly service: string;
			readonly needed: number;
			readonly capacity: number;
			readonly inTheWay: readonly string[];
	  }
	/** The total resources for jobs exceed those of the workers. */
	| {
			readonly kind: 'jobs-too-large';
			readonly resource: 'cores' | 'memoryMb' | 'accelerators';
			readonly needed: number;
			readonly capacity: number;
			readonly inTheWay: readonly string[];
	  };

const sumValues = (values: readonly ContractValue[]) =>
	values.reduce((sum, {value}) => sum + value, 0);

/**
 * Lists the fewest contracts, largest first, without which the sum would fit;
 * empty if the contract exceeds the capacity alone.
 */
const findConflictingContracts = (
	others: readonly ContractValue[],
	own: number,
	capacity: number,
): readonly string[] => {
	if (own > capacity) {
		return [];
	}

	const names: string[] = [];
	let left = own + sumValues(others) - capacity;
	for (const {customer, value} of others.toSorted(
		(a, b) => b.value - a.value,
	)) {
		if (left <= 0 || value <= 0) {
			break;
		}

		names.push(customer);
		left -= value;
	}

	return names;
};

const checkRate = (
	terms: ServiceTerms,
	others: readonly Contract[],
	executors: number,
	executorRate: number,
): ContractProblem | undefined => {
	const {service} = terms;
	const otherTerms = listServiceTerms(others, service);
	const rates = otherTerms.map(({customer, requestsPerSecond: value}) => ({
		customer,
		value,
	}));
	const keep = Math.max(
		terms.keepExecutors,
		...otherTerms.map((each) => each.keepExecutors),
	);
	const maxAway = Math.min(
		terms.maxAway,
		...otherTerms.map((each) => each.maxAway),
	);
	const capacity = Math.max(keep, executors - maxAway) * executorRate;
	const needed = terms.requestsPerSecond + sumValues(rates);
	if (needed <= capacity) {
		return undefined;
	}

	const inTheWay = findConflictingContracts(
		rates,
		terms.requestsPerSecond,
		capacity,
	);
	return {kind: 'rate-too-high', service, needed, capacity, inTheWay};
};

const checkJobs = (
	contract: Contract,
	others: readonly Contract[],
	workers: NonNullable<MeasuredCapacity['workers']>,
): readonly ContractProblem[] => {
	const problems: ContractProblem[] = [];
	for (const resource of ['cores', 'memoryMb', 'accelerators'] as const) {
		const held = others.map(({customer, jobs}) => ({
			customer,
			value: jobs[resource],
		}));
		const needed = contract.jobs[resource] + sumValues(held);
		const capacity = workers[resource];
		if (needed > capacity) {
			const inTheWay = findConflictingContracts(
				held,
				contract.jobs[resource],
				capacity,
			);
			problems.push({
				kind: 'jobs-too-large',
				resource,
				needed,
				capacity,
				inTheWay,
			});
		}
	}

	return problems;
};

const checkTokens = (
	contract: Contract,
	others: readonly Contract[],
): readonly ContractProblem[] => {
	const problems: ContractProblem[] = [];
	for (const [index, hash] of contract.tokenHashes.entries()) {
		const existing = others.find((each) => each.tokenHashes.includes(hash));
		if (existing) {
			problems.push({kind: 'token-taken', index, customer: existing.customer});
		}
	}

	return problems;
};

const checkTerms = (
	terms: ServiceTerms,
	view: View,
	others: readonly Contract[],
	capacity: MeasuredCapacity,
): ContractProblem | undefined => {
	const service = view.services.get(terms.service);
	if (!service) {
		return {kind: 'unknown-service', service: terms.service};
	}

	const {name, pool} = service;
	const members = groupByPool(view.instances.values()).get(pool) ?? [];
	const executors = members.filter(({kind}) => kind === 'executor').length;
	if (terms.keepExecutors > executors) {
		const needed = terms.keepExecutors;
		return {kind: 'pool-too-small', service: name, pool, needed, executors};
	}

	const executorRate = capacity.executorRates?.get(name);
	return executorRate === undefined
		? undefined
		: checkRate(terms, others, executors, executorRate);
};

/** Lists the problems of a contract; empty if it may be accepted. */
export const checkContract = (
	contract: Contract,
	view: View,
	capacity: MeasuredCapacity = {},
): readonly ContractProblem[] => {
	const malformed = findMalformedFields(contract);
	if (malformed.length > 0) {
		return malformed.map((field) => ({kind: 'malformed', field}));
	}

	const others = [...view.contracts.values()].filter(
		({customer}) => customer !== contract.customer,
	);
	return [
		...checkTokens(contract, others),
		...contract.services
			.map((terms) => checkTerms(terms, view, others, capacity))
			.filter((problem) => problem !== undefined),
		...(capacity.workers ? checkJobs(contract, others, capacity.workers) : []),
	];
};

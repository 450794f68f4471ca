/** Finds the contracts that forbid a change of pools or services. */
import type {View} from '../types/view.js';
import {createIndex} from '../view/view-index.js';
import {getServicePromise} from './service-promise.js';

/** A contract whose promise a change would break. */
export type BlockingContract = {
	readonly customer: string;
	readonly service: string;
	readonly keepExecutors: number;
	readonly executorsLeft: number;
};

/**
 * Contracts broken if `leaving` executors left the pool for good. Those that
 * were broken before the change stand in the way as well.
 */
export const findBlockingContracts = (
	view: View,
	pool: string,
	leaving: number,
): readonly BlockingContract[] => {
	const index = createIndex(view);
	const blocking: BlockingContract[] = [];
	for (const {name} of index.servicesByPool.get(pool) ?? []) {
		const promise = getServicePromise(view.contracts.values(), name);
		const executors = index.executorsByService.get(name)?.length ?? 0;
		const executorsLeft = executors - leaving;
		if (promise && promise.keepExecutors.value > executorsLeft) {
			blocking.push({
				customer: promise.keepExecutors.customer,
				service: name,
				keepExecutors: promise.keepExecutors.value,
				executorsLeft,
			});
		}
	}

	return blocking;
};

/** Customers whose contracts name a service; it may not be deleted. */
export const listCustomersOfService = (
	view: View,
	service: string,
): readonly string[] =>
	[...view.contracts.values()]
		.filter(({services}) => services.some((each) => each.service === service))
		.map(({customer}) => customer);

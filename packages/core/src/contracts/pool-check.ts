/** Finds contracts that forbid a change of a pool or service. */
import type {View} from '../types/view.js';
import {createIndex} from '../view/view-index.js';
import {getServicePromise} from './service-promise.js';

/** A contract whose terms a change would violate. */
export type BlockingContract = {
	readonly customer: string;
	readonly service: string;
	readonly keepExecutors: number;
	readonly executorsLeft: number;
};

/**
 * Lists contracts that are violated if `leaving` executors are removed from the
 * pool, including those that are violated already.
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

/** Lists customers whose contracts use a service; it may not be deleted. */
export const listCustomersOfService = (
	view: View,
	service: string,
): readonly string[] =>
	[...view.contracts.values()]
		.filter(({services}) => services.some((each) => each.service === service))
		.map(({customer}) => customer);

/** Lookups by pool and service for routers and planners. */
import type {Contract} from '../types/contract.js';
import type {Instance} from '../types/instance.js';
import type {Service} from '../types/service.js';
import type {View} from '../types/view.js';

/** Index of one view; rebuilt when the view changes. */
export type ViewIndex = {
	readonly revision: number;
	readonly instancesByPool: ReadonlyMap<string, readonly Instance[]>;
	readonly servicesByPool: ReadonlyMap<string, readonly Service[]>;
	/** All executors of the service's pool, in any state. */
	readonly executorsByService: ReadonlyMap<string, readonly Instance[]>;
	/** Executors that may get new requests. */
	readonly servingByService: ReadonlyMap<string, readonly Instance[]>;
	/** Contracts with terms for the service. */
	readonly contractsByService: ReadonlyMap<string, readonly Contract[]>;
};

const groupBy = <Value>(
	values: Iterable<Value>,
	getKeys: (value: Value) => readonly string[],
): ReadonlyMap<string, readonly Value[]> => {
	const groups = new Map<string, Value[]>();
	for (const value of values) {
		for (const key of getKeys(value)) {
			const group = groups.get(key);
			if (group) {
				group.push(value);
			} else {
				groups.set(key, [value]);
			}
		}
	}

	return groups;
};

/** Groups instances by pool. */
export const groupByPool = (instances: Iterable<Instance>) =>
	groupBy(instances, (instance) => [instance.pool]);

const isExecutor = (instance: Instance) => instance.kind === 'executor';

const isServing = (instance: Instance) => instance.state === 'serving';

/** Creates the index of a view. */
export const createIndex = (view: View): ViewIndex => {
	const instancesByPool = groupByPool(view.instances.values());
	const executorsByService = new Map<string, readonly Instance[]>();
	const servingByService = new Map<string, readonly Instance[]>();
	for (const {name, pool} of view.services.values()) {
		const executors = (instancesByPool.get(pool) ?? []).filter((each) =>
			isExecutor(each),
		);
		executorsByService.set(name, executors);
		servingByService.set(
			name,
			executors.filter((each) => isServing(each)),
		);
	}

	return {
		revision: view.revision,
		instancesByPool,
		servicesByPool: groupBy(view.services.values(), ({pool}) => [pool]),
		executorsByService,
		servingByService,
		contractsByService: groupBy(view.contracts.values(), ({services}) =>
			services.map(({service}) => service),
		),
	};
};

/** Instance list in memory, for the embedded daemon, tests and benches. */
import * as core from '@gullstand/core';
import type {InstanceList, ListedInstance} from '../ports/instance-list.js';

/** An instance list that can be changed, always up to date. */
export type MemoryInstanceList = InstanceList & {
	/** Adds an instance, or replaces the one with the same id. */
	readonly set: (instance: ListedInstance) => void;
	readonly remove: (id: string) => void;
};

/** Creates a list of the given instances. */
export const createMemoryInstanceList = (
	initial: readonly ListedInstance[] = [],
): MemoryInstanceList => {
	const instances = new Map(initial.map((each) => [each.id, each]));
	return {
		list: async () => core.succeed([...instances.values()]),
		set(instance) {
			instances.set(instance.id, instance);
		},
		remove(id) {
			instances.delete(id);
		},
	};
};

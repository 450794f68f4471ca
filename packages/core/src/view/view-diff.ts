/** The changes that lead from one view to another. */
import type {View} from '../types/view.js';
import type {ViewChange} from './view-change.js';

/** Compares values as JSON holds them; the order of keys does not matter. */
export const isSameValue = (one: unknown, two: unknown): boolean => {
	if (one === two) {
		return true;
	}

	if (typeof one !== 'object' || typeof two !== 'object' || !one || !two) {
		return false;
	}

	if (Array.isArray(one) !== Array.isArray(two)) {
		return false;
	}

	const [first, second] = [Object.entries(one), new Map(Object.entries(two))];
	return (
		first.length === second.size &&
		first.every(
			([key, value]) => second.has(key) && isSameValue(value, second.get(key)),
		)
	);
};

const diffMaps = <Value>(
	before: ReadonlyMap<string, Value>,
	after: ReadonlyMap<string, Value>,
	put: (value: Value) => ViewChange,
	remove: (key: string) => ViewChange,
): ViewChange[] => {
	const changes: ViewChange[] = [];
	for (const [key, value] of after) {
		if (!isSameValue(before.get(key), value)) {
			changes.push(put(value));
		}
	}

	for (const key of before.keys()) {
		if (!after.has(key)) {
			changes.push(remove(key));
		}
	}

	return changes;
};

/** Lists what to apply to `before` so that it holds what `after` holds. */
export const diffViews = (before: View, after: View): readonly ViewChange[] => [
	...diffMaps(
		before.services,
		after.services,
		(service) => ({kind: 'put-service', service}),
		(name) => ({kind: 'delete-service', name}),
	),
	...diffMaps(
		before.instances,
		after.instances,
		(instance) => ({kind: 'put-instance', instance}),
		(id) => ({kind: 'delete-instance', id}),
	),
	...diffMaps(
		before.contracts,
		after.contracts,
		(contract) => ({kind: 'put-contract', contract}),
		(customer) => ({kind: 'delete-contract', customer}),
	),
];

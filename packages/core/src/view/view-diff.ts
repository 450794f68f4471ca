/** Computes the changes between two views. */
import type {View} from '../types/view.js';
import type {ViewChange} from './view-change.js';

/** Compares JSON values; the order of keys does not matter. */
export const isSameValue = (first: unknown, second: unknown): boolean => {
	if (first === second) {
		return true;
	}

	if (
		typeof first !== 'object' ||
		typeof second !== 'object' ||
		!first ||
		!second
	) {
		return false;
	}

	if (Array.isArray(first) !== Array.isArray(second)) {
		return false;
	}

	const [firstEntries, secondEntries] = [
		Object.entries(first),
		new Map(Object.entries(second)),
	];
	return (
		firstEntries.length === secondEntries.size &&
		firstEntries.every(
			([key, value]) =>
				secondEntries.has(key) && isSameValue(value, secondEntries.get(key)),
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

/**
 * Lists the changes that turn `before` into a view with the same objects as
 * `after`.
 */
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

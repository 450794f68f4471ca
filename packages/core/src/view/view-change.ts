/**
 * Changes of the view as stored in the change log of the table service. Each
 * committed change is one delta with the next revision.
 * Source: docs/design/agreement.md.
 */
import {match} from 'ts-pattern';
import type {Contract} from '../types/contract.js';
import type {Instance} from '../types/instance.js';
import type {Service} from '../types/service.js';
import type {View} from '../types/view.js';

/** Creation, replacement or deletion of one object. */
export type ViewChange =
	| {readonly kind: 'put-contract'; readonly contract: Contract}
	| {readonly kind: 'delete-contract'; readonly customer: string}
	| {readonly kind: 'put-service'; readonly service: Service}
	| {readonly kind: 'delete-service'; readonly name: string}
	| {readonly kind: 'put-instance'; readonly instance: Instance}
	| {readonly kind: 'delete-instance'; readonly id: string};

/** One committed transaction on the view. */
export type ViewDelta = {
	/** One more than the revision of the previous delta. */
	readonly revision: number;
	/** Operation id of the transaction. */
	readonly id: string;
	/**
	 * Id of the previous delta; a mismatch shows that the store lost commits.
	 */
	readonly previousId: string;
	readonly author: string;
	/** Time of the commit by the writer's clock, in milliseconds. */
	readonly committedAt: number;
	readonly changes: readonly ViewChange[];
};

const withEntry = <Value>(
	map: ReadonlyMap<string, Value>,
	key: string,
	value: Value,
): ReadonlyMap<string, Value> => new Map(map).set(key, value);

const withoutEntry = <Value>(
	map: ReadonlyMap<string, Value>,
	key: string,
): ReadonlyMap<string, Value> => {
	const copy = new Map(map);
	copy.delete(key);
	return copy;
};

/** Applies one change; the revision does not change. */
export const applyChange = (view: View, change: ViewChange): View =>
	match(change)
		.with({kind: 'put-contract'}, ({contract}) => ({
			...view,
			contracts: withEntry(view.contracts, contract.customer, contract),
		}))
		.with({kind: 'delete-contract'}, ({customer}) => ({
			...view,
			contracts: withoutEntry(view.contracts, customer),
		}))
		.with({kind: 'put-service'}, ({service}) => ({
			...view,
			services: withEntry(view.services, service.name, service),
		}))
		.with({kind: 'delete-service'}, ({name}) => ({
			...view,
			services: withoutEntry(view.services, name),
		}))
		.with({kind: 'put-instance'}, ({instance}) => ({
			...view,
			instances: withEntry(view.instances, instance.id, instance),
		}))
		.with({kind: 'delete-instance'}, ({id}) => ({
			...view,
			instances: withoutEntry(view.instances, id),
		}))
		.exhaustive();

/** The view: the snapshot that every entry uses for routing. */
import type {Contract} from './contract.js';
import type {Instance} from './instance.js';
import type {Service} from './service.js';

/** Contracts, services and instances at one revision. */
export type View = {
	/** Grows with every committed change; never decreases on an entry. */
	readonly revision: number;
	readonly contracts: ReadonlyMap<string, Contract>;
	readonly services: ReadonlyMap<string, Service>;
	readonly instances: ReadonlyMap<string, Instance>;
};

/** The view before the first read. */
export const emptyView: View = {
	revision: 0,
	contracts: new Map(),
	services: new Map(),
	instances: new Map(),
};

/** The view: the snapshot by which every entry routes. */
import type {Contract} from './contract.js';
import type {Instance} from './instance.js';
import type {Service} from './service.js';

/** Contracts, services and instances at one revision. */
export type View = {
	/** Grows with every committed change; an entry never goes back. */
	readonly revision: number;
	readonly contracts: ReadonlyMap<string, Contract>;
	readonly services: ReadonlyMap<string, Service>;
	readonly instances: ReadonlyMap<string, Instance>;
};

/** The view before anything was read. */
export const emptyView: View = {
	revision: 0,
	contracts: new Map(),
	services: new Map(),
	instances: new Map(),
};

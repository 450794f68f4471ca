/**
 * Registration of entries in the table service. Registered entries, not the
 * lagging list, are those whose acknowledgement a drain waits for.
 * Source: docs/design/agreement.md, "Who must acknowledge".
 */
import {
	agreementTables,
	singleRowKey,
	type StoreWrite,
} from '../types/store-write.js';
import type {Acknowledgement, EntryIncarnation} from './acknowledgement.js';

/** The row of one entry; its owner writes it with every heartbeat. */
export type Registration = {
	readonly address: string;
	readonly availabilityZone: string;
	readonly acknowledged: Acknowledgement;
	/** Entries of which more than half confirm this one, itself included. */
	readonly quorum: readonly string[];
	/** How long this life has run, in milliseconds. */
	readonly upMs: number;
	/** Entries that asked this one to confirm them within `forgetAfterMs`. */
	readonly heard: readonly string[];
};

/** The row that stands for the set of registered entries. */
export type Membership = {readonly changedBy: string};

/** What an entry has read when it registers. */
export type CurrentView = {
	readonly revision: number;
	/** Version of the counter row at that revision; undefined without a row. */
	readonly counterVersion: number | undefined;
};

/** The life that a registration speaks for. */
export const getEntryIncarnation = ({
	acknowledged,
}: Registration): EntryIncarnation => ({
	entry: acknowledged.entry,
	incarnation: acknowledged.incarnation,
});

const putMembership = (changedBy: string): StoreWrite<Membership> => ({
	kind: 'put',
	table: agreementTables.membership,
	key: singleRowKey,
	value: {changedBy},
	// Any version: joining entries do not make one another fail.
	when: {kind: 'any'},
});

/**
 * Registers a life. It commits only while the entry's view is the newest, so
 * that a registered entry never starts with a view older than a drain that
 * did not wait for it. The row of an earlier life is replaced, which makes
 * that life's next heartbeat fail.
 */
export const registerEntry = (
	registration: Registration,
	view: CurrentView,
): ReadonlyArray<StoreWrite<Registration | Membership>> => [
	{
		kind: 'check',
		table: agreementTables.counter,
		key: singleRowKey,
		when:
			view.counterVersion === undefined
				? {kind: 'absent'}
				: {kind: 'version', version: view.counterVersion},
	},
	{
		kind: 'put',
		table: agreementTables.entry,
		key: registration.acknowledged.entry,
		value: registration,
		when: {kind: 'any'},
	},
	putMembership(registration.acknowledged.entry),
];

/**
 * Heartbeat and acknowledgement in one write, conditional on the version of
 * the row that this life wrote last. A conflict means that a later life has
 * registered or that the entry was removed: it must stop routing.
 */
export const renewRegistration = (
	registration: Registration,
	version: number,
): ReadonlyArray<StoreWrite<Registration>> => [
	{
		kind: 'put',
		table: agreementTables.entry,
		key: registration.acknowledged.entry,
		value: registration,
		when: {kind: 'version', version},
	},
];

/**
 * Removes a registration at the version that was judged: by the entry itself
 * at the end of a graceful stop, or by another that may forget it.
 */
export const removeEntry = (
	entry: string,
	version: number,
	removedBy: string,
): ReadonlyArray<StoreWrite<Membership>> => [
	{
		kind: 'delete',
		table: agreementTables.entry,
		key: entry,
		when: {kind: 'version', version},
	},
	putMembership(removedBy),
];

/**
 * Registration of entries in the table service. A drain waits for the
 * acknowledgements of all registered entries, not only of those on the
 * platform's list, which may be out of date.
 * Source: docs/design/agreement.md, "Who must acknowledge".
 */
import {
	agreementTables,
	singleRowKey,
	type StoreWrite,
} from '../types/store-write.js';
import type {Acknowledgement, EntryIncarnation} from './acknowledgement.js';

/** The row of one entry, which the entry writes with every heartbeat. */
export type Registration = {
	readonly address: string;
	readonly availabilityZone: string;
	readonly acknowledged: Acknowledgement;
	/**
	 * Entries of which more than half must confirm this one, itself included.
	 */
	readonly quorum: readonly string[];
	/** Uptime of this incarnation, in milliseconds. */
	readonly upMs: number;
	/**
	 * Entries that requested a confirmation from this one within
	 * `forgetAfterMs`.
	 */
	readonly heard: readonly string[];
};

/** The row that represents the set of registered entries. */
export type Membership = {readonly changedBy: string};

/** The view that an entry has read when it registers. */
export type CurrentView = {
	readonly revision: number;
	/**
	 * Version of the counter row at that revision; `undefined` if there is no
	 * row.
	 */
	readonly counterVersion: number | undefined;
};

/** Returns the incarnation that a registration belongs to. */
export const getEntryIncarnation = ({
	acknowledged,
}: Registration): EntryIncarnation => ({
	entry: acknowledged.entry,
	incarnation: acknowledged.incarnation,
});

const createMembershipWrite = (changedBy: string): StoreWrite<Membership> => ({
	kind: 'put',
	table: agreementTables.membership,
	key: singleRowKey,
	value: {changedBy},
	// Any version, so that joining entries do not conflict with each other.
	when: {kind: 'any'},
});

/**
 * Builds the writes that register an incarnation. They commit only while the
 * entry's view is the newest, so that no entry registers with a view older than
 * a drain that did not wait for it. They replace the row of a previous
 * incarnation, whose next heartbeat then fails.
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
	createMembershipWrite(registration.acknowledged.entry),
];

/**
 * Builds the write of a heartbeat with its acknowledgement, conditional on the
 * version that this incarnation wrote last. A conflict means that a later
 * incarnation has registered or that the entry was removed: the entry must stop
 * routing.
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
 * Builds the writes that remove a registration at the version on which the
 * decision was made: by the entry itself at the end of a graceful stop, or by
 * another entry that may forget it.
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
	createMembershipWrite(removedBy),
];

/**
 * Records unplanned loss of instances. Each ledger changes separately, since
 * recording a loss needs no capacity from other services.
 */
import type {Instance} from '../types/instance.js';
import type {RowPut, Versioned} from './row-write.js';
import {createLedgerPut, updateEntry, type Ledger} from './ledger.js';

/**
 * Creates the write that records serving instances as lost. Withdrawn instances
 * stay `away`, since each instance counts once either way. Returns undefined if
 * nothing changes.
 */
export const markLost = (
	ledger: Versioned<Ledger>,
	instanceIds: Iterable<string>,
	now: number,
): RowPut<Ledger> | undefined => {
	let changed = ledger.value;
	for (const id of instanceIds) {
		if (changed.entries[id]?.kind === 'serving') {
			changed = updateEntry(changed, id, {kind: 'lost', since: now});
		}
	}

	return changed === ledger.value
		? undefined
		: createLedgerPut(changed, ledger.version);
};

/**
 * Creates the write that records lost instances as serving again once they are
 * healthy. An instance whose row is not `serving` stays lost: no entry routes
 * to it yet, and `returnInstance` completes its return. Returns undefined if
 * nothing changes.
 */
export const markRecovered = (
	ledger: Versioned<Ledger>,
	instances: Iterable<Instance>,
): RowPut<Ledger> | undefined => {
	let changed = ledger.value;
	for (const {id, state} of instances) {
		if (state === 'serving' && changed.entries[id]?.kind === 'lost') {
			changed = updateEntry(changed, id, {kind: 'serving'});
		}
	}

	return changed === ledger.value
		? undefined
		: createLedgerPut(changed, ledger.version);
};

/**
 * Creates the write that records a withdrawn instance as lost because it did
 * not return in time: it still counts, but no longer as part of its wave.
 * Returns undefined if the instance is not away.
 */
export const convertAwayToLost = (
	ledger: Versioned<Ledger>,
	instanceId: string,
	now: number,
): RowPut<Ledger> | undefined =>
	ledger.value.entries[instanceId]?.kind === 'away'
		? createLedgerPut(
				updateEntry(ledger.value, instanceId, {kind: 'lost', since: now}),
				ledger.version,
			)
		: undefined;

/**
 * Unplanned loss. It is booked in each ledger by itself: a ledger is the
 * truth of one service, and loss needs no leave of another.
 */
import type {Instance} from '../types/instance.js';
import type {RowPut, Versioned} from './row-write.js';
import {createLedgerPut, updateEntry, type Ledger} from './ledger.js';

/**
 * Books instances as lost. Those already away by plan stay booked as away:
 * either way they count once. Returns nothing if nothing changes.
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
 * Books lost instances as serving again, once they have proved themselves. One
 * whose row does not serve stays lost: no entry routes to it yet, and it comes
 * back by `giveBack`.
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
 * Turns a planned absence into a loss, for an instance that did not come
 * back in time: it still counts, but no longer as a take of the wave.
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

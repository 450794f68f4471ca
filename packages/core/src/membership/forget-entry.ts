/**
 * Decides when other entries may remove an unresponsive entry. The platform's
 * list is not sufficient evidence: it may omit entries that still run.
 */
import {fail, succeed, type Result} from '../types/result.js';
import type {StoreWrite} from '../types/store-write.js';
import {
	removeEntry,
	type Membership,
	type Registration,
} from './registration.js';
import type {MembershipSettings} from './membership-status.js';

/** Evidence that an entry has terminated. */
export type ForgetEvidence = {
	readonly entry: string;
	/** Version of the entry's row, unchanged for `unchangedMs`. */
	readonly version: number;
	readonly unchangedMs: number;
	/**
	 * Time for which no read of the platform's list has contained this
	 * incarnation, in milliseconds.
	 */
	readonly unlistedMs: number;
	/**
	 * Number of registered entries without contact to it; see
	 * `countEntriesWithoutContact`.
	 */
	readonly entriesWithoutContact: number;
	/** Size of the quorum that the entry's row names. */
	readonly quorum: number;
};

/** A registration and the time for which its row has not changed. */
export type ObservedRegistration = {
	readonly registration: Registration;
	readonly unchangedMs: number;
};

/**
 * Counts the entries that would have received a request from an entry if it
 * were running, but have not: they are in the quorum that its row names, renew
 * their own rows, have run long enough, and do not list it in `heard`.
 */
export const countEntriesWithoutContact = (
	{acknowledged: {entry}, quorum}: Registration,
	rows: readonly ObservedRegistration[],
	{stallMarginMs, forgetAfterMs}: MembershipSettings,
): number =>
	rows.filter(
		({registration, unchangedMs}) =>
			registration.acknowledged.entry !== entry &&
			quorum.includes(registration.acknowledged.entry) &&
			unchangedMs < stallMarginMs &&
			registration.upMs >= forgetAfterMs &&
			!registration.heard.includes(entry),
	).length;

/** Why an entry may not be forgotten yet. */
export type ForgetRefusal = 'renewed' | 'listed' | 'heard';

/**
 * Builds the writes that remove an entry if there has been no evidence of its
 * liveness for long enough.
 */
export const forgetEntry = (
	evidence: ForgetEvidence,
	settings: MembershipSettings,
	removedBy: string,
): Result<ReadonlyArray<StoreWrite<Membership>>, ForgetRefusal> => {
	if (evidence.unchangedMs < settings.forgetAfterMs) {
		return fail('renewed');
	}

	if (evidence.unlistedMs < settings.forgetAfterMs) {
		return fail('listed');
	}

	if (evidence.entriesWithoutContact * 2 <= evidence.quorum) {
		return fail('heard');
	}

	return succeed(removeEntry(evidence.entry, evidence.version, removedBy));
};

/**
 * When others may remove an entry that fell silent. The lagging list alone
 * is no proof: it drops entries that still run.
 */
import {fail, succeed, type Result} from '../types/result.js';
import type {StoreWrite} from '../types/store-write.js';
import {
	removeEntry,
	type Membership,
	type Registration,
} from './registration.js';
import type {MembershipSettings} from './membership-status.js';

/** What is known of an entry that may be gone. */
export type ForgetEvidence = {
	readonly entry: string;
	/** Version of its row, unchanged for `unchangedMs`. */
	readonly version: number;
	readonly unchangedMs: number;
	/** How long every read of the list has not shown this life. */
	readonly unlistedMs: number;
	/** Registered entries that have not heard it; see `countUnheard`. */
	readonly unheardBy: number;
	/** Size of the quorum that its own row names. */
	readonly quorum: number;
};

/** A registration and how long its row has stayed the same. */
export type ObservedRegistration = {
	readonly registration: Registration;
	readonly unchangedMs: number;
};

/**
 * Counts the entries that would have heard another but have not: they stand
 * in the quorum that its own row names, their rows are renewed, they have run
 * long enough to know, and do not name it.
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

/** Why an entry is not forgotten yet. */
export type ForgetRefusal = 'renewed' | 'listed' | 'heard';

/** Removes an entry if every sign of life has been missing long enough. */
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

	if (evidence.unheardBy * 2 <= evidence.quorum) {
		return fail('heard');
	}

	return succeed(removeEntry(evidence.entry, evidence.version, removedBy));
};

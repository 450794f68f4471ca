/**
 * What an entry must stop by itself when it cannot confirm that the others
 * still count it. This is the one place where elapsed time matters to
 * safety; docs/design/agreement.md states the bounds.
 */

/** How an entry takes part. */
export type EntryMode =
	/** Its row is in the table service. */
	| 'registered'
	/** Started in an outage; a registered peer acknowledges for it. */
	| 'sponsored'
	/** Started in an outage with no peer, from the object store. */
	| 'snapshot';

/** What can confirm an entry. */
export type ConfirmationSource =
	/** A heartbeat write on the own row has committed. */
	| 'table'
	/** The platform's list shows this life. */
	| 'list'
	/** More than half of the registered entries have answered. */
	| 'majority'
	/** The sponsor, itself confirmed, has answered. */
	| 'sponsor'
	/** The start marker was put anew, then the snapshot was read again. */
	| 'snapshot';

/** Standing of this entry. */
export type MembershipStatus = {
	readonly mode: EntryMode;
	/** Milliseconds; when the newest confirmation was asked for. */
	readonly confirmedAt: number;
};

const sourcesByMode: Readonly<
	Record<EntryMode, readonly ConfirmationSource[]>
> = {
	registered: ['table', 'list', 'majority'],
	sponsored: ['sponsor'],
	snapshot: ['snapshot'],
};

/** Changes the mode; what confirmed the earlier one no longer counts. */
export const changeMode = (
	mode: EntryMode,
	confirmedAt: number,
): MembershipStatus => ({
	mode,
	confirmedAt,
});

/** Bounds of the rules that depend on elapsed time, in milliseconds. */
export type MembershipSettings = {
	/** An entry without confirmation for this long stops routing. */
	readonly isolationMs: number;
	/** The platform's list is never older than this. */
	readonly listLagMs: number;
	/** Longest stall between the last check and the bytes on the wire. */
	readonly stallMarginMs: number;
	/** Longest time from a dispatch to the end of the work at the executor. */
	readonly longestRequestMs: number;
	/** Silence after which others may remove an entry. */
	readonly forgetAfterMs: number;
};

/** Defaults of `MembershipSettings`. */
export const membershipDefaults: MembershipSettings = {
	isolationMs: 6000,
	listLagMs: 10_000,
	stallMarginMs: 4000,
	longestRequestMs: 10_000,
	forgetAfterMs: 36_000,
};

/**
 * True if no entry is forgotten before its last request has ended. The
 * isolation counts twice: a peer may claim silence just before it is asked
 * (spec/forget.pml, `forget_after`).
 */
export const isSafeSettings = (settings: MembershipSettings): boolean =>
	settings.forgetAfterMs >=
	2 * settings.isolationMs +
		settings.listLagMs +
		settings.stallMarginMs +
		settings.longestRequestMs;

/** A lapsed entry may have been removed; only these show that it was not. */
const sourcesAfterLapse: ReadonlySet<ConfirmationSource> = new Set([
	'table',
	'snapshot',
]);

/**
 * Takes in a confirmation.
 * @param askedAt - When the call was begun, less the age that the other side
 * reported for its own confirmation; never when the answer came.
 */
export const confirmMembership = (
	standing: MembershipStatus,
	source: ConfirmationSource,
	askedAt: number,
	{isolationMs}: MembershipSettings,
): MembershipStatus => {
	const {mode, confirmedAt} = standing;
	const hasLapsed = askedAt - confirmedAt >= isolationMs;
	const counts =
		sourcesByMode[mode].includes(source) &&
		(!hasLapsed || sourcesAfterLapse.has(source));
	return counts && askedAt > confirmedAt
		? {mode, confirmedAt: askedAt}
		: standing;
};

/** True if the entry may dispatch new requests; asked at each dispatch. */
export const mayRoute = (
	standing: MembershipStatus,
	settings: MembershipSettings,
	now: number,
): boolean => now - standing.confirmedAt < settings.isolationMs;

/** What only a registered entry may do. */
export const mayControl = (
	standing: MembershipStatus,
	settings: MembershipSettings,
	now: number,
): boolean =>
	standing.mode === 'registered' && mayRoute(standing, settings, now);

/**
 * Decides what an entry must stop doing when it cannot confirm that it is still
 * a member. Safety depends on elapsed time only here; docs/design/agreement.md
 * states the bounds.
 */

/** How an entry takes part in the fleet. */
export type EntryMode =
	/** The entry has a row in the table service. */
	| 'registered'
	/**
	 * Started during an outage; a registered peer acknowledges on its behalf.
	 */
	| 'sponsored'
	/**
	 * Started during an outage without a peer, from the snapshot in the object
	 * store.
	 */
	| 'snapshot';

/** Source of a confirmation that an entry is still a member. */
export type ConfirmationSource =
	/** The entry's heartbeat write committed. */
	| 'table'
	/** The platform's list contains this incarnation. */
	| 'list'
	/** More than half of the registered entries responded. */
	| 'majority'
	/** The sponsor, itself confirmed, responded. */
	| 'sponsor'
	/** The start marker was written again, then the snapshot was read again. */
	| 'snapshot';

/** Membership status of an entry. */
export type MembershipStatus = {
	readonly mode: EntryMode;
	/** When the newest confirmation was requested, in milliseconds. */
	readonly confirmedAt: number;
};

const sourcesByMode: Readonly<
	Record<EntryMode, readonly ConfirmationSource[]>
> = {
	registered: ['table', 'list', 'majority'],
	sponsored: ['sponsor'],
	snapshot: ['snapshot'],
};

/** Changes the mode; confirmations of the previous mode no longer count. */
export const changeMode = (
	mode: EntryMode,
	confirmedAt: number,
): MembershipStatus => ({
	mode,
	confirmedAt,
});

/** Time bounds of membership, in milliseconds. */
export type MembershipSettings = {
	/** Time without confirmation after which an entry stops routing. */
	readonly isolationMs: number;
	/** Maximum age of the platform's list. */
	readonly listLagMs: number;
	/** Maximum delay between the last check and the bytes on the wire. */
	readonly stallMarginMs: number;
	/** Maximum time from a dispatch to the end of the work on the executor. */
	readonly longestRequestMs: number;
	/** Time without evidence of liveness after which others may remove an entry. */
	readonly forgetAfterMs: number;
};

/** Default settings. */
export const membershipDefaults: MembershipSettings = {
	isolationMs: 6000,
	listLagMs: 10_000,
	stallMarginMs: 4000,
	longestRequestMs: 10_000,
	forgetAfterMs: 36_000,
};

/**
 * Whether no entry can be forgotten before its last request has ended. The
 * isolation time counts twice: a peer may report an entry as unresponsive just
 * before that entry requests a confirmation (spec/forget.pml, `forget_after`).
 */
export const isSafeSettings = (settings: MembershipSettings): boolean =>
	settings.forgetAfterMs >=
	2 * settings.isolationMs +
		settings.listLagMs +
		settings.stallMarginMs +
		settings.longestRequestMs;

/**
 * Time after the last confirmation within which no other entry can have removed
 * this one. A peer's claim not to have heard it may be delayed by a pause of the
 * peer before it is written, and then counts for the stall margin
 * (spec/forget.pml, `RENEW`).
 */
export const getRenewableMs = ({
	forgetAfterMs,
	listLagMs,
	stallMarginMs,
}: MembershipSettings): number => forgetAfterMs - listLagMs - 2 * stallMarginMs;

/**
 * Sources that confirm an entry however long ago its confirmation expired. The
 * others do not show that the entry was removed meanwhile.
 */
const lastingSources: ReadonlySet<ConfirmationSource> = new Set([
	'table',
	'sponsor',
	'snapshot',
]);

/** Times of a confirmation, in milliseconds. */
export type ConfirmationTimes = {
	/**
	 * When the request was sent, less the age that the other side reported for
	 * its own confirmation.
	 */
	readonly askedAt: number;
	readonly answeredAt: number;
};

/** Applies a confirmation, which counts from its request. */
export const confirmMembership = (
	status: MembershipStatus,
	source: ConfirmationSource,
	{askedAt, answeredAt}: ConfirmationTimes,
	settings: MembershipSettings,
): MembershipStatus => {
	const {mode, confirmedAt} = status;
	const isRenewable =
		askedAt - confirmedAt < settings.isolationMs ||
		answeredAt - confirmedAt < getRenewableMs(settings);
	const counts =
		sourcesByMode[mode].includes(source) &&
		(isRenewable || lastingSources.has(source));
	return counts && askedAt > confirmedAt
		? {mode, confirmedAt: askedAt}
		: status;
};

/** Whether the entry may dispatch new requests; checked at each dispatch. */
export const mayRoute = (
	status: MembershipStatus,
	settings: MembershipSettings,
	now: number,
): boolean => now - status.confirmedAt < settings.isolationMs;

/** Whether the entry may control the fleet; only registered entries may. */
export const mayControl = (
	status: MembershipStatus,
	settings: MembershipSettings,
	now: number,
): boolean => status.mode === 'registered' && mayRoute(status, settings, now);

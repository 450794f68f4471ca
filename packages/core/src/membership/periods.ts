/**
 * Periods of the agreement protocol by the size of the fleet, so that what
 * all daemons together ask of the table service stays within its rate.
 */
import {
	membershipDefaults,
	type MembershipSettings,
} from './membership-status.js';

/** Periods in milliseconds. */
export type AgreementPeriods = {
	/** Polls of the revision; peers' offers come sooner. */
	readonly viewPollMs: number;
	readonly heartbeatMs: number;
	/** Looks at the watched neighbours' heartbeats. */
	readonly watchMs: number;
	/** Silence after which shards are taken over. */
	readonly leaseMs: number;
	readonly membership: MembershipSettings;
};

/** Each daemon gets one call of a kind in this time, for each daemon. */
const shareMs = 20;

const shortestViewPollMs = 500;

const shortestHeartbeatMs = 2000;

const shortestWatchMs = 1000;

/** Heartbeats that may be missed before a daemon counts as silent. */
const missedHeartbeats = 3;

/** Chooses the periods for a number of registered entries. */
export const getPeriods = (entries: number): AgreementPeriods => {
	const fairMs = entries * shareMs;
	const heartbeatMs = Math.max(shortestHeartbeatMs, fairMs);
	const {listLagMs, stallMarginMs, longestRequestMs} = membershipDefaults;
	const isolationMs = missedHeartbeats * heartbeatMs;
	return {
		viewPollMs: Math.max(shortestViewPollMs, fairMs),
		heartbeatMs,
		watchMs: Math.max(shortestWatchMs, fairMs),
		leaseMs: missedHeartbeats * heartbeatMs,
		membership: {
			isolationMs,
			listLagMs,
			stallMarginMs,
			longestRequestMs,
			forgetAfterMs:
				2 * isolationMs + listLagMs + stallMarginMs + longestRequestMs,
		},
	};
};

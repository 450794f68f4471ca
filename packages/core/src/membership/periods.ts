/**
 * Periods of the agreement protocol by the size of the fleet, so that the calls
 * of all daemons together stay within the rate limit of the table service.
 */
import {
	membershipDefaults,
	type MembershipSettings,
} from './membership-status.js';

/** Periods in milliseconds. */
export type AgreementPeriods = {
	/**
	 * Period between polls of the revision; peers usually announce a new one
	 * earlier.
	 */
	readonly viewPollMs: number;
	readonly heartbeatMs: number;
	/** Period between polls of the monitored peers' heartbeats. */
	readonly watchMs: number;
	/** Time after which the shards of an unresponsive daemon are taken over. */
	readonly leaseMs: number;
	readonly membership: MembershipSettings;
};

/**
 * Time budget per daemon for one call of each kind: with n daemons, each calls
 * once in n times this time, in milliseconds.
 */
const msPerDaemon = 20;

const minViewPollMs = 500;

const minHeartbeatMs = 2000;

const minWatchMs = 1000;

/** Missed heartbeats after which a daemon counts as unresponsive. */
const missedHeartbeats = 3;

/** Computes the periods for a number of registered entries. */
export const getPeriods = (entries: number): AgreementPeriods => {
	const minPeriodMs = entries * msPerDaemon;
	const heartbeatMs = Math.max(minHeartbeatMs, minPeriodMs);
	const {listLagMs, stallMarginMs, longestRequestMs} = membershipDefaults;
	const isolationMs = missedHeartbeats * heartbeatMs;
	return {
		viewPollMs: Math.max(minViewPollMs, minPeriodMs),
		heartbeatMs,
		watchMs: Math.max(minWatchMs, minPeriodMs),
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

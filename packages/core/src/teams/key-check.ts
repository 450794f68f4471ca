/**
 * Decides whether a call with a key may be served. An entry can follow the
 * configuration only so fast, and not at all while it is cut off from the
 * store, so both the acceptance and the rejection of a key depend on when the
 * configuration in use was certainly the latest. See docs/design/teams.md.
 */
import {maxClockDrift} from '../scheduler/state/remote-clock.js';

/** Time bounds on the use of a configuration, in milliseconds. */
export type KeyPolicy = {
	/**
	 * A key must not be accepted in a request sent this long after its removal
	 * was acknowledged; absent if the deployment sets no such bound.
	 */
	readonly revocationMs: number | undefined;
	/** A key must not be rejected this long after it was added. */
	readonly configurationApplyMs: number;
};

/** What an entry knows of a key. */
export type KnownKey = {
	/** Whether the configuration in use has the key. */
	readonly isListed: boolean;
	/**
	 * Time since the configuration in use was certainly the latest, by the clock
	 * of the entry; absent if that was never confirmed.
	 */
	readonly confirmedAgeMs: number | undefined;
};

/** Whether a key is valid; `unconfirmed` if the entry cannot tell. */
export type KeyVerdict = 'valid' | 'invalid' | 'unconfirmed';

/** Whether a confirmation is certainly younger than a bound. */
const isWithin = (ageMs: number | undefined, boundMs: number): boolean =>
	ageMs !== undefined && ageMs * (1 + maxClockDrift) < boundMs;

/**
 * Judges a key at a moment after its request has arrived. A request is sent
 * before it arrives, so a confirmation younger than `revocationMs` shows that
 * the key had not been removed `revocationMs` before the request was sent.
 */
export const judgeKey = (
	{isListed, confirmedAgeMs}: KnownKey,
	{revocationMs, configurationApplyMs}: KeyPolicy,
): KeyVerdict => {
	if (!isListed) {
		return isWithin(confirmedAgeMs, configurationApplyMs)
			? 'invalid'
			: 'unconfirmed';
	}

	return revocationMs === undefined || isWithin(confirmedAgeMs, revocationMs)
		? 'valid'
		: 'unconfirmed';
};

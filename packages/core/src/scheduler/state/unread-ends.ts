/**
 * Ends that an executor has not listed yet. It lists a limited number at a time,
 * and the next ones only once these are acknowledged. After a takeover a task of
 * an inherited job may have ended there unseen, so that it must not start again.
 */
import type {Executor} from './executor.js';
import {getMaxLeaseDurationMs} from './leases.js';
import type {Owner} from './owner-state.js';

/**
 * Records whether an executor has listed all of its ends. Called before the
 * executor counts as resolved.
 */
export const recordListing = (
	{unresolvedExecutors, unreadExecutors}: Owner,
	{id}: Pick<Executor, 'id'>,
	isWhole: boolean,
): void => {
	const leasesEndAt = unresolvedExecutors.get(id);
	if (isWhole) {
		unreadExecutors.delete(id);
	} else if (leasesEndAt !== undefined) {
		unreadExecutors.set(id, leasesEndAt);
	}
};

/**
 * Gives up executors whose list has stayed full for as long as leases of earlier
 * owners may last: an end that can't be stored would hold up the service. That
 * time begins once ends may be acknowledged, as no list gets shorter before.
 */
export const giveUpUnread = (owner: Owner, now: number): void => {
	const {unresolvedExecutors, unreadExecutors, cfg} = owner;
	const mayAcknowledge = unresolvedExecutors.size === 0;
	for (const [id, until] of unreadExecutors) {
		if (!mayAcknowledge) {
			unreadExecutors.set(id, now + getMaxLeaseDurationMs(cfg));
		} else if (now >= until) {
			unreadExecutors.delete(id);
		}
	}
};

/** Whether all runs and ends that earlier owners left behind are known. */
export const isInheritanceKnown = ({
	unresolvedExecutors,
	unreadExecutors,
}: Owner): boolean =>
	unresolvedExecutors.size === 0 && unreadExecutors.size === 0;

/**
 * Whether this daemon is a holder of shards, a candidate or an observer, and
 * how closely it watches the others. All but a few are observers, so that
 * heartbeats and reads of them cost the same in a fleet of any size.
 */
import * as core from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import {periods, observerPeriods} from '../periods.js';
import type {FollowPeriods} from '../rows/feed-follower.js';
import type {LeaseCache} from './lease-cache.js';
import {toLiveEntries, type Members} from './members.js';

/** What the role of a daemon follows from. */
export type EntryRoleDeps = {
	readonly self: core.shardAssignment.LiveEntry;
	readonly members: Members;
	readonly leases: Pick<LeaseCache, 'listHolders'>;
	/** Whether this daemon holds a shard or claims one. */
	readonly isHolding: () => boolean;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

/** The role of a daemon. */
export type EntryRole = {
	/** Looks at the others; answers whether they have to see that it lives. */
	readonly step: () => boolean;
	readonly isCandidate: () => boolean;
	/** How the leases are followed for now. */
	readonly getLeasePeriods: () => Partial<FollowPeriods>;
	/** How the heartbeats are followed for now. */
	readonly getHeartbeatPeriods: () => Partial<FollowPeriods>;
};

/** Creates the role of a daemon that has just started. */
export const createEntryRole = (deps: EntryRoleDeps): EntryRole => {
	const {self, members, leases, now, logger} = deps;
	const startedAt = now();
	let state = core.candidates.observerState;

	const listHolders = (): readonly string[] =>
		leases.listHolders().map(({entry}) => entry);

	const isStarting = (): boolean =>
		now() - startedAt < observerPeriods.startupHeartbeatsMs;

	const isActive = (): boolean =>
		state.isCandidate || deps.isHolding() || isStarting();

	const isHolderSuspect = (): boolean =>
		listHolders().some(
			(entry) => members.getUnresponsiveMs(entry) >= observerPeriods.suspectMs,
		);

	return {
		step() {
			const view = {
				self,
				live: toLiveEntries(
					members,
					members.listLive(periods.leaseMs),
					self.entry,
				),
				listKnown: () => toLiveEntries(members, members.listAll(), self.entry),
				holders: new Set(listHolders()),
			};
			const next = core.candidates.stepCandidate(state, view, now());
			if (next.isCandidate !== state.isCandidate) {
				logger.info(next.isCandidate ? 'candidate now' : 'observer now', {
					live: view.live.length,
					known: view.listKnown().length,
				});
			}

			state = next;
			return isActive();
		},
		isCandidate: () => state.isCandidate || isStarting(),
		getLeasePeriods: () => (isActive() ? {} : observerPeriods.lease),
		getHeartbeatPeriods() {
			if (isActive()) {
				return {};
			}

			return isHolderSuspect()
				? observerPeriods.suspectDaemon
				: observerPeriods.daemon;
		},
	};
};

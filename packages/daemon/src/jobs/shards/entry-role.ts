/**
 * Decides whether this daemon is a holder of shards, a candidate or an
 * observer, and how often it reads leases and heartbeats. Most daemons are
 * observers, so that the cost of heartbeats doesn't grow with the size of the
 * fleet.
 */
import * as core from '@gullstand/core';
import type {Logger} from '../../log/logger.js';
import {periods, observerPeriods} from '../periods.js';
import type {FollowPeriods} from '../rows/feed-follower.js';
import type {LeaseCache} from './lease-cache.js';
import {toLiveEntries, type Members} from './members.js';

export type EntryRoleDeps = {
	readonly self: core.shardAssignment.LiveEntry;
	readonly members: Members;
	readonly leases: Pick<LeaseCache, 'listHolders'>;
	/** Whether this daemon holds a shard or is claiming one. */
	readonly isHolding: () => boolean;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

export type EntryRole = {
	/**
	 * Updates the role from the current members and leases; returns whether this
	 * daemon has to send heartbeats.
	 */
	readonly step: () => boolean;
	readonly isCandidate: () => boolean;
	/** Overrides of the periods at which leases are followed. */
	readonly getLeasePeriods: () => Partial<FollowPeriods>;
	/** Overrides of the periods at which heartbeats are followed. */
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

	const hasSuspectHolder = (): boolean =>
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
				logger.info(next.isCandidate ? 'became candidate' : 'became observer', {
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

			return hasSuspectHolder()
				? observerPeriods.suspectDaemon
				: observerPeriods.daemon;
		},
	};
};

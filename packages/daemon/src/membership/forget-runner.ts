/**
 * Removes the rows of monitored peers that have certainly terminated. Reads all
 * rows and the instance list only while a monitored peer is unresponsive.
 */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {
	acknowledgement,
	observation,
	membershipStatus,
} from '@gullstand/core';
import type {InstanceList, TableService} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';
import {
	readMembership,
	toWrites,
	type MembershipRows,
} from './membership-rows.js';

/** Dependencies of the runner. */
export type ForgetRunnerDeps = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly table: TableService;
	readonly list: InstanceList;
	readonly mayControl: () => boolean;
	readonly getMembers: () => MembershipRows;
	/** Time since the last heartbeat of a monitored peer, in milliseconds. */
	readonly getUnresponsiveMs: (entry: string) => number;
	readonly settings: membershipStatus.MembershipSettings;
	readonly leaseMs: number;
	readonly pollMs: number;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

type State = {
	observations: observation.Observations;
	/** When each unresponsive entry was first missing from the list. */
	readonly unlistedSince: Map<string, number>;
};

/** Reads further apart than this many periods restart the observation. */
const maxGapPeriods = 5;

const listUnresponsive = (deps: ForgetRunnerDeps): readonly string[] => {
	const entries = [...deps.getMembers().registrations.keys()];
	return core.monitoredPeers
		.listMonitoredPeers(deps.self.entry, entries)
		.filter((entry) => deps.getUnresponsiveMs(entry) >= deps.leaseMs);
};

const recordUnlisted = async (
	deps: ForgetRunnerDeps,
	state: State,
	unresponsive: readonly string[],
) => {
	const listed = await deps.list.list();
	const listedIds = new Set(
		listed.ok ? listed.value.map(({id}) => id) : unresponsive,
	);
	for (const entry of unresponsive) {
		if (listedIds.has(entry)) {
			state.unlistedSince.delete(entry);
		} else if (!state.unlistedSince.has(entry)) {
			state.unlistedSince.set(entry, deps.now());
		}
	}
};

const forgetUnresponsive = async (
	deps: ForgetRunnerDeps,
	state: State,
	{registrations}: MembershipRows,
	entry: string,
) => {
	const getUnchangedMs = (key: string) =>
		core.observation.getUnchangedMs(
			state.observations,
			key,
			registrations.get(key)?.version ?? 0,
		);
	const unresponsive = registrations.get(entry);
	if (!unresponsive) {
		return;
	}

	const rows = [...registrations].map(([key, {value: registration}]) => ({
		registration,
		unchangedMs: getUnchangedMs(key),
	}));
	const since = state.unlistedSince.get(entry);
	const result = core.forgetEntry.forgetEntry(
		{
			entry,
			version: unresponsive.version,
			unchangedMs: getUnchangedMs(entry),
			unlistedMs: since === undefined ? 0 : deps.now() - since,
			entriesWithoutContact: core.forgetEntry.countEntriesWithoutContact(
				unresponsive.value,
				rows,
				deps.settings,
			),
			quorum: unresponsive.value.quorum.length,
		},
		deps.settings,
		deps.self.entry,
	);
	if (result.ok) {
		await deps.table.commit(toWrites(result.value), randomUUID());
		deps.logger.info('entry forgotten', {forgotten: entry});
	}
};

const runOnce = async (deps: ForgetRunnerDeps, state: State) => {
	const unresponsive = deps.mayControl() ? listUnresponsive(deps) : [];
	if (unresponsive.length === 0) {
		state.unlistedSince.clear();
		return;
	}

	await recordUnlisted(deps, state, unresponsive);
	const rows = await readMembership(deps.table);
	if (!rows.ok) {
		return;
	}

	const {registrations} = rows.value;
	state.observations = core.observation.observeVersions(
		state.observations,
		new Map([...registrations].map(([key, {version}]) => [key, version])),
		maxGapPeriods * deps.pollMs,
		deps.now(),
	);
	for (const entry of unresponsive) {
		await forgetUnresponsive(deps, state, rows.value, entry);
	}
};

export const createForgetRunner = (deps: ForgetRunnerDeps): Part => {
	const state: State = {
		observations: core.observation.emptyObservations,
		unlistedSince: new Map(),
	};
	const ticker = createTicker(
		async () => runOnce(deps, state),
		deps.pollMs,
		Math.random,
	);
	return {name: 'forget', start: ticker.start, stop: ticker.stop};
};

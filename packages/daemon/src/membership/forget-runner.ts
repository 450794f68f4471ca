/**
 * Removes neighbours that are certainly over, as a part. It reads all rows
 * and the list only while a neighbour is silent.
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

/** What the runner needs. */
export type ForgetRunnerDeps = {
	readonly self: acknowledgement.EntryIncarnation;
	readonly table: TableService;
	readonly list: InstanceList;
	readonly mayControl: () => boolean;
	readonly getMembers: () => MembershipRows;
	/** How long the heartbeat of a watched neighbour has stayed away. */
	readonly getUnresponsiveMs: (entry: string) => number;
	readonly settings: membershipStatus.MembershipSettings;
	readonly leaseMs: number;
	readonly pollMs: number;
	readonly now: () => number;
	readonly logger: Pick<Logger, 'info'>;
};

type State = {
	observations: observation.Observations;
	/** When each silent entry was first not on the list. */
	readonly unlistedSince: Map<string, number>;
};

const maxGapPeriods = 5;

const listSilent = (deps: ForgetRunnerDeps): readonly string[] => {
	const entries = [...deps.getMembers().registrations.keys()];
	return core.monitoredPeers
		.listMonitoredPeers(deps.self.entry, entries)
		.filter((entry) => deps.getUnresponsiveMs(entry) >= deps.leaseMs);
};

const observeList = async (
	deps: ForgetRunnerDeps,
	state: State,
	silent: readonly string[],
) => {
	const listed = await deps.list.list();
	const shown = new Set(listed.ok ? listed.value.map(({id}) => id) : silent);
	for (const entry of silent) {
		if (shown.has(entry)) {
			state.unlistedSince.delete(entry);
		} else if (!state.unlistedSince.has(entry)) {
			state.unlistedSince.set(entry, deps.now());
		}
	}
};

const forgetSilent = async (
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
	const silent = registrations.get(entry);
	if (!silent) {
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
			version: silent.version,
			unchangedMs: getUnchangedMs(entry),
			unlistedMs: since === undefined ? 0 : deps.now() - since,
			unheardBy: core.forgetEntry.countEntriesWithoutContact(
				silent.value,
				rows,
				deps.settings,
			),
			quorum: silent.value.quorum.length,
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
	const silent = deps.mayControl() ? listSilent(deps) : [];
	if (silent.length === 0) {
		state.unlistedSince.clear();
		return;
	}

	await observeList(deps, state, silent);
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
	for (const entry of silent) {
		await forgetSilent(deps, state, rows.value, entry);
	}
};

/** Creates the runner. */
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

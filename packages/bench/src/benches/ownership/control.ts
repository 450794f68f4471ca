/** Control loop of an entry: shard leases, moves, removal of dead entries. */
import * as core from '@gullstand/core';
import type {
	Instance,
	move,
	observation,
	registration,
	shardLease,
} from '@gullstand/core';
import {drawExponential} from '../../frame/random.js';
import type {ReadRow} from '../agreement/store.js';
import type {EntryState} from './entry.js';
import {
	commitSteps,
	getShard,
	isConnected,
	isListed,
	shards,
	waitWhilePaused,
	type Simulation,
} from './simulation.js';

const settings = core.membershipStatus.membershipDefaults;

const controlMs = 200;

/** Period of entries that hold no shard. */
const idleControlMs = 1000;

const leaseMs = 6000;

/** Gap between reads that restarts every observation. */
const maxGapMs = 3000;

const timerMs = 1000;

/** Maximum number of steps in one transaction. */
const maxSteps = 16;

type Control = {
	readonly simulation: Simulation;
	readonly state: EntryState;
	observations: observation.Observations;
	readonly unlistedSince: Map<string, number>;
	readonly held: Map<string, shardLease.HeldShard>;
};

type Rows = {
	readonly membershipVersion: number;
	readonly registrations: ReadonlyArray<
		readonly [string, ReadRow<registration.Registration>]
	>;
};

const readRows = async ({
	simulation,
	state,
}: Control): Promise<Rows | undefined> => {
	const isReachable = () => isConnected(simulation, state.host);
	const membership = await simulation.link(
		() => simulation.store.read('membership', core.singleRowKey)!,
		isReachable,
	);
	const registrations = await simulation.link(
		() => simulation.store.list<registration.Registration>('entry'),
		isReachable,
	);
	return membership.ok && registrations.ok
		? {
				membershipVersion: membership.value.version,
				registrations: registrations.value,
			}
		: undefined;
};

const observe = (control: Control, {registrations}: Rows) => {
	const now = control.simulation.clock.now();
	const versions = new Map(
		registrations.map(([entry, {version}]) => [entry, version]),
	);
	control.observations = core.observation.observeVersions(
		control.observations,
		versions,
		maxGapMs,
		now,
	);
	for (const host of control.simulation.hosts) {
		if (isListed(control.simulation, host)) {
			control.unlistedSince.delete(host.entry);
		} else if (!control.unlistedSince.has(host.entry)) {
			control.unlistedSince.set(host.entry, now);
		}
	}
};

const getUnchangedMs = (control: Control, entry: string, version: number) =>
	core.observation.getUnchangedMs(control.observations, entry, version);

const acquireShard = async (control: Control, rows: Rows, shard: string) => {
	const {simulation, state, held} = control;
	const read = simulation.store.read<shardLease.ShardLease>('shard', shard);
	const own = core.shardLease.adoptShard(read, state.life);
	if (own) {
		held.set(shard, own);
		return;
	}

	const holder = read?.value.holder?.entry ?? '';
	const row = rows.registrations.find(([entry]) => entry === holder)?.[1];
	const result = core.shardLease.acquireShard(shard, read, {
		self: state.life,
		leaseMs,
		evidence: {
			registeredIncarnation: row?.value.acknowledged.incarnation,
			unresponsiveMs: row ? getUnchangedMs(control, holder, row.version) : 0,
		},
	});
	if (!result.ok) {
		return;
	}

	const reply = await simulation.link(
		() =>
			simulation.store.commit([result.value]) &&
			simulation.store.read<shardLease.ShardLease>('shard', shard),
		() => isConnected(simulation, state.host),
	);
	if (reply.ok && reply.value) {
		const {value, version} = reply.value;
		held.set(shard, {shard, token: value.token, version});
		simulation.counts.takeovers += 1;
	}
};

const forgetUnresponsive = async (control: Control, rows: Rows) => {
	const {simulation, state} = control;
	const now = simulation.clock.now();
	const observed = rows.registrations.map(([entry, {value, version}]) => ({
		registration: value,
		unchangedMs: getUnchangedMs(control, entry, version),
	}));
	for (const [entry, {value, version}] of rows.registrations) {
		const since = control.unlistedSince.get(entry);
		const evidence = {
			entry,
			version,
			unchangedMs: getUnchangedMs(control, entry, version),
			unlistedMs: since === undefined ? 0 : now - since,
			unheardBy: core.forgetEntry.countEntriesWithoutContact(
				value,
				observed,
				settings,
			),
			quorum: value.quorum.length,
		};
		const result = core.forgetEntry.forgetEntry(
			evidence,
			settings,
			state.life.entry,
		);
		if (result.ok) {
			await simulation.link(
				() => {
					simulation.counts.forgotten += simulation.store.commit(result.value)
						? 1
						: 0;
				},
				() => isConnected(simulation, state.host),
			);
		}
	}
};

const selectRegistrations = (
	simulation: Simulation,
	{registrations}: Rows,
): readonly registration.Registration[] => {
	if (simulation.rule === 'timer') {
		return [];
	}

	const all = registrations.map(([, {value}]) => value);
	return simulation.rule === 'acknowledged'
		? all
		: all.filter(({acknowledged}) =>
				simulation.hosts.some(
					(host) =>
						host.entry === acknowledged.entry && isListed(simulation, host),
				),
			);
};

const decide = (
	control: Control,
	rows: Rows,
	held: shardLease.HeldShard,
	moveRow: ReadRow<move.Move>,
): move.MoveStep => {
	const {simulation} = control;
	const {instance} = moveRow.value;
	const drainedMs =
		simulation.clock.now() - simulation.startedAt.get(instance)!;
	if (simulation.rule === 'timer' && drainedMs < timerMs) {
		return {kind: 'wait', pendingEntries: []};
	}

	return core.move.decideMove(
		moveRow,
		simulation.store.read<Instance>('instance', instance),
		{
			version: rows.membershipVersion,
			registrations: selectRegistrations(simulation, rows),
			received: simulation.receivedAcknowledgements,
			outageStart: core.move.noOutageStart,
		},
		held,
	);
};

const maybePause = async ({simulation, state}: Control, part: number) => {
	if (!simulation.isQuiet && simulation.random() < part) {
		await simulation.clock.sleep(drawExponential(simulation.random, 8000));
	}

	return waitWhilePaused(simulation, state.host, state.host.incarnation);
};

const advanceMoves = async (
	control: Control,
	rows: Rows,
	held: shardLease.HeldShard,
) => {
	const {simulation, state} = control;
	const counter = simulation.store.read('counter', core.singleRowKey)!;
	const steps = simulation.store
		.list<move.Move>('move')
		.filter(([instance]) => getShard(instance) === held.shard)
		.map(([, row]) => decide(control, rows, held, row))
		.filter((step) => step.kind === 'commit');
	// Simulates a process that pauses between its decision and its commit.
	if (steps.length === 0 || !(await maybePause(control, 0.005))) {
		return;
	}

	const reply = await simulation.link(
		() => commitSteps(simulation, steps.slice(0, maxSteps), counter.version),
		() => isConnected(simulation, state.host),
	);
	simulation.counts.lostConflicts += reply.ok && !reply.value ? 1 : 0;
};

const runControl = async (control: Control) => {
	const rows = await readRows(control);
	if (!rows || !control.state.isRegistered) {
		return;
	}

	observe(control, rows);
	for (const shard of shards) {
		await acquireShard(control, rows, shard);
	}

	for (const held of control.held.values()) {
		const read = control.simulation.store.read<shardLease.ShardLease>(
			'shard',
			held.shard,
		);
		if (core.shardLease.isShardLost(held, read)) {
			control.held.delete(held.shard);
			continue;
		}

		await advanceMoves(control, rows, held);
		if (held.shard === shards[0]) {
			await forgetUnresponsive(control, rows);
		}
	}
};

/** Runs the control loop of one incarnation of an entry. */
export const startControl = async (
	simulation: Simulation,
	state: EntryState,
) => {
	const control: Control = {
		simulation,
		state,
		observations: core.observation.emptyObservations,
		unlistedSince: new Map(),
		held: new Map(),
	};
	const {incarnation} = state.host;
	while (
		!simulation.isDone &&
		(await waitWhilePaused(simulation, state.host, incarnation))
	) {
		await runControl(control);
		const gapMs = control.held.size > 0 ? controlMs : idleControlMs;
		await simulation.clock.sleep(gapMs * (0.8 + 0.4 * simulation.random()));
	}
};

/** Control parts of an entry: shard leases, moves, forgetting. */
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
	stayAwake,
	type World,
} from './world.js';

const settings = core.membershipStatus.membershipDefaults;

const controlMs = 200;

/** Entries that hold no shard look less often. */
const idleControlMs = 1000;

const leaseMs = 6000;

/** Longer gaps between reads restart every observation. */
const maxGapMs = 3000;

const timerMs = 1000;

/** Steps in one transaction. */
const maxSteps = 16;

type Control = {
	readonly world: World;
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

const readRows = async ({world, state}: Control): Promise<Rows | undefined> => {
	const isReachable = () => isConnected(world, state.host);
	const membership = await world.link(
		() => world.store.read('membership', core.singleRowKey)!,
		isReachable,
	);
	const registrations = await world.link(
		() => world.store.list<registration.Registration>('entry'),
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
	const now = control.world.clock.now();
	const versions = new Map(
		registrations.map(([entry, {version}]) => [entry, version]),
	);
	control.observations = core.observation.observeVersions(
		control.observations,
		versions,
		maxGapMs,
		now,
	);
	for (const host of control.world.hosts) {
		if (isListed(control.world, host)) {
			control.unlistedSince.delete(host.entry);
		} else if (!control.unlistedSince.has(host.entry)) {
			control.unlistedSince.set(host.entry, now);
		}
	}
};

const getSilentMs = (control: Control, entry: string, version: number) =>
	core.observation.getUnchangedMs(control.observations, entry, version);

const acquire = async (control: Control, rows: Rows, shard: string) => {
	const {world, state, held} = control;
	const read = world.store.read<shardLease.ShardLease>('shard', shard);
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
			unresponsiveMs: row ? getSilentMs(control, holder, row.version) : 0,
		},
	});
	if (!result.ok) {
		return;
	}

	const reply = await world.link(
		() =>
			world.store.commit([result.value]) &&
			world.store.read<shardLease.ShardLease>('shard', shard),
		() => isConnected(world, state.host),
	);
	if (reply.ok && reply.value) {
		const {value, version} = reply.value;
		held.set(shard, {shard, token: value.token, version});
		world.counts.takeovers += 1;
	}
};

const forgetSilent = async (control: Control, rows: Rows) => {
	const {world, state} = control;
	const now = world.clock.now();
	const observed = rows.registrations.map(([entry, {value, version}]) => ({
		registration: value,
		unchangedMs: getSilentMs(control, entry, version),
	}));
	for (const [entry, {value, version}] of rows.registrations) {
		const since = control.unlistedSince.get(entry);
		const evidence = {
			entry,
			version,
			unchangedMs: getSilentMs(control, entry, version),
			unlistedMs: since === undefined ? 0 : now - since,
			entriesWithoutContact: core.forgetEntry.countEntriesWithoutContact(
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
			await world.link(
				() => {
					world.counts.forgotten += world.store.commit(result.value) ? 1 : 0;
				},
				() => isConnected(world, state.host),
			);
		}
	}
};

const selectRegistrations = (
	world: World,
	{registrations}: Rows,
): readonly registration.Registration[] => {
	if (world.rule === 'timer') {
		return [];
	}

	const all = registrations.map(([, {value}]) => value);
	return world.rule === 'acknowledged'
		? all
		: all.filter(({acknowledged}) =>
				world.hosts.some(
					(host) => host.entry === acknowledged.entry && isListed(world, host),
				),
			);
};

const decide = (
	control: Control,
	rows: Rows,
	held: shardLease.HeldShard,
	moveRow: ReadRow<move.Move>,
): move.MoveStep => {
	const {world} = control;
	const {instance} = moveRow.value;
	const drainedMs = world.clock.now() - world.startedAt.get(instance)!;
	if (world.rule === 'timer' && drainedMs < timerMs) {
		return {kind: 'wait', pendingEntries: []};
	}

	return core.move.decideMove(
		moveRow,
		world.store.read<Instance>('instance', instance),
		{
			version: rows.membershipVersion,
			registrations: selectRegistrations(world, rows),
			received: world.heard,
			outageStart: core.move.noOutageStart,
		},
		held,
	);
};

const pauseRarely = async ({world, state}: Control, part: number) => {
	if (!world.isQuiet && world.random() < part) {
		await world.clock.sleep(drawExponential(world.random, 8000));
	}

	return stayAwake(world, state.host, state.host.life);
};

const advanceMoves = async (
	control: Control,
	rows: Rows,
	held: shardLease.HeldShard,
) => {
	const {world, state} = control;
	const counter = world.store.read('counter', core.singleRowKey)!;
	const steps = world.store
		.list<move.Move>('move')
		.filter(([instance]) => getShard(instance) === held.shard)
		.map(([, row]) => decide(control, rows, held, row))
		.filter((step) => step.kind === 'commit');
	// A mover may pause between its decision and its commit.
	if (steps.length === 0 || !(await pauseRarely(control, 0.005))) {
		return;
	}

	const reply = await world.link(
		() => commitSteps(world, steps.slice(0, maxSteps), counter.version),
		() => isConnected(world, state.host),
	);
	world.counts.lostConflicts += reply.ok && !reply.value ? 1 : 0;
};

const runControl = async (control: Control) => {
	const rows = await readRows(control);
	if (!rows || !control.state.isRegistered) {
		return;
	}

	observe(control, rows);
	for (const shard of shards) {
		await acquire(control, rows, shard);
	}

	for (const held of control.held.values()) {
		const read = control.world.store.read<shardLease.ShardLease>(
			'shard',
			held.shard,
		);
		if (core.shardLease.isShardLost(held, read)) {
			control.held.delete(held.shard);
			continue;
		}

		await advanceMoves(control, rows, held);
		if (held.shard === shards[0]) {
			await forgetSilent(control, rows);
		}
	}
};

/** Runs the control parts of one life of an entry. */
export const startControl = async (world: World, state: EntryState) => {
	const control: Control = {
		world,
		state,
		observations: core.observation.emptyObservations,
		unlistedSince: new Map(),
		held: new Map(),
	};
	const {life} = state.host;
	while (!world.isDone && (await stayAwake(world, state.host, life))) {
		await runControl(control);
		const gapMs = control.held.size > 0 ? controlMs : idleControlMs;
		await world.clock.sleep(gapMs * (0.8 + 0.4 * world.random()));
	}
};

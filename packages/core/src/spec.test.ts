/**
 * Checks the properties of spec/ under random commands on membership,
 * instances, shards and budgets. Commands are named as the transitions there.
 */
import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	checkProperties,
	createRegistration,
	createSystem,
	getNextStep,
	getCommittedInstances,
	ids,
	isMoving,
	prepareWrites,
	createPut,
	readInstance,
	readLedgers,
	readMembership,
	servicesByPool,
	startMove,
	withdrawInstance,
	type Guard,
	type System,
} from './spec-system.test.fixture.js';
import * as core from './index.js';
import type {registration} from './index.js';

const {agreementTables: tables, singleRowKey} = core;

const entryActions = {
	startEntry(system: System, index: number) {
		const entry = system.entries[index]!;
		if (!entry.isUp) {
			Object.assign(entry, {isUp: true, revision: 0, rowVersion: 0});
			entry.incarnation += 1;
		}
	},
	applyRevision(system: System, index: number, age: number) {
		const entry = system.entries[index]!;
		const read = Math.max(0, system.history.length - 1 - age);
		entry.revision = entry.isUp ? Math.max(entry.revision, read) : 0;
	},
	registerEntry(system: System, index: number) {
		const {store, history} = system;
		const entry = system.entries[index]!;
		const isCurrent = entry.revision === history.length - 1;
		if (!entry.isUp || entry.rowVersion > 0 || !isCurrent) {
			return;
		}

		const counterVersion = store.read(tables.counter, singleRowKey)!.version;
		const writes = core.registration.registerEntry(
			createRegistration(system, index),
			{revision: entry.revision, counterVersion},
		);
		if (store.commit(writes)) {
			entry.rowVersion = store.read(tables.entry, `e${index}`)!.version;
		}
	},
	pick(system: System, index: number, age: number) {
		const entry = system.entries[index]!;
		const instance = ids[age % ids.length]!;
		const {state, pool} = system.history[entry.revision]!.get(instance)!;
		if (entry.isUp && entry.rowVersion > 0 && state === 'serving') {
			entry.picks.push({instance, pool, isSent: false});
		}
	},
	send(system: System, index: number) {
		const pick = system.entries[index]!.picks.find(({isSent}) => !isSent);
		if (pick) {
			pick.isSent = true;
		}
	},
	finish(system: System, index: number) {
		const entry = system.entries[index]!;
		entry.picks = entry.picks.filter(({isSent}) => !isSent);
	},
	acknowledgeRevision(system: System, index: number) {
		const entry = system.entries[index]!;
		const {store} = system;
		if (!entry.isUp || entry.rowVersion === 0) {
			return;
		}

		const writes = core.registration.renewRegistration(
			createRegistration(system, index),
			entry.rowVersion,
		);
		if (store.commit(writes)) {
			entry.rowVersion = store.read(tables.entry, `e${index}`)!.version;
		}
	},
	crash(system: System, index: number) {
		Object.assign(system.entries[index]!, {isUp: false, picks: []});
	},
	forgetEntry(system: System, index: number) {
		const {isUp, incarnation} = system.entries[index]!;
		const name = `e${index}`;
		const row = system.store.read<registration.Registration>(
			tables.entry,
			name,
		);
		const isOver =
			!isUp || row?.value.acknowledged.incarnation !== `${incarnation}`;
		if (row && isOver) {
			system.store.commit(
				core.registration.removeEntry(name, row.version, 'operator'),
			);
		}
	},
};

const daemonActions = {
	/** Any daemon may falsely consider the holder terminated. */
	acquireShard({store, daemons}: System, index: number) {
		const read = store.read<core.shardLease.ShardLease>(tables.shard, 's');
		const acquired = core.shardLease.acquireShard('s', read, {
			self: {entry: `d${index}`, incarnation: '1'},
			evidence: {registeredIncarnation: '1', unresponsiveMs: 1},
			leaseMs: 1,
		});
		if (acquired.ok && store.commit([acquired.value])) {
			const {value, version} = store.read<core.shardLease.ShardLease>(
				tables.shard,
				's',
			)!;
			daemons[index]!.held = {shard: 's', token: value.token, version};
		}
	},
	readMembership(system: System, index: number) {
		system.daemons[index]!.membership = readMembership(system);
	},
	reserveAway(system: System, index: number, age: number) {
		const daemon = system.daemons[index]!;
		const withdrawal = withdrawInstance(system, ids[age % ids.length]!);
		if (daemon.held && withdrawal.ok) {
			prepareWrites(system, daemon, withdrawal.value.writes);
		}
	},
	startDrain(system: System, index: number, age: number) {
		const daemon = system.daemons[index]!;
		const writes = startMove(system, ids[age % ids.length]!);
		if (daemon.held && writes) {
			prepareWrites(system, daemon, writes);
		}
	},
	finishDrain(system: System, index: number, age: number) {
		const daemon = system.daemons[index]!;
		const writes = getNextStep(system, ids[age % ids.length]!, daemon);
		if (writes) {
			prepareWrites(system, daemon, writes);
		}
	},
	reboot(system: System, _index: number, age: number) {
		const id = ids[age % ids.length]!;
		const incarnationState = system.incarnations.get(id)!;
		const {state} = readInstance(system, id).value;
		const isOff = state === 'away' || state === 'returning';
		if (
			isOff &&
			!isMoving(system, id) &&
			incarnationState.current === incarnationState.withdrawn
		) {
			incarnationState.current += 1;
		}
	},
	startReturn(system: System, index: number, age: number) {
		const daemon = system.daemons[index]!;
		const id = ids[age % ids.length]!;
		const {value, version} = readInstance(system, id);
		const next = core.transition.applyTransition(value, 'startReturn');
		if (daemon.held && next.ok && !isMoving(system, id)) {
			const {instances} = core.budget.tables;
			prepareWrites(system, daemon, [
				core.budget.createRowPut(instances, id, next.value, version),
			]);
		}
	},
	giveBack(system: System, index: number, age: number) {
		const daemon = system.daemons[index]!;
		const id = ids[age % ids.length]!;
		const incarnationState = system.incarnations.get(id)!;
		const change = core.budget.returnInstance({
			operationId: 'back',
			instance: readInstance(system, id),
			ledgers: readLedgers(system),
			servicesByPool,
			evidence: {
				listed: 'live',
				incarnationBefore:
					system.left === 'new-life' ? '0' : `${incarnationState.withdrawn}`,
				incarnation: `${incarnationState.current}`,
				probesPassed: core.budget.returnDefaults.probesNeeded,
			},
			settings: core.budget.returnDefaults,
		});
		if (daemon.held && change.ok && !isMoving(system, id)) {
			prepareWrites(system, daemon, change.value.writes);
		}
	},
	commit(system: System, index: number, age: number) {
		const {store, history, daemons, incarnations} = system;
		const daemon = daemons[index]!;
		const {prepared, held} = daemon;
		if (!prepared) {
			return;
		}

		const counter = createPut(tables.counter, singleRowKey, history.length);
		if (store.commit([...prepared.writes, counter])) {
			const lease = store.read<core.shardLease.ShardLease>(tables.shard, 's')!;
			assert.equal(lease.value.token, held!.token, 'writes_fenced');
			const committed = new Map(getCommittedInstances(system));
			for (const instance of prepared.instances) {
				const previous = committed.get(instance.id)!;
				const isWithdrawn = instance.state === 'draining';
				const isBack = instance.state === 'serving';
				const isMoved = previous.pool !== instance.pool;
				const incarnationState = incarnations.get(instance.id)!;
				const isByWave = !isMoving(system, instance.id);
				incarnationState.withdrawn =
					isWithdrawn && isByWave
						? incarnationState.current
						: incarnationState.withdrawn;
				incarnationState.withdrawn = isMoved ? 0 : incarnationState.withdrawn;
				system.moved += isMoved ? 1 : 0;
				system.returned += isBack && !isMoved ? 1 : 0;
				committed.set(instance.id, instance);
			}

			history.push(committed);
		}

		// On a lost reply the daemon keeps its writes and sends them again.
		daemon.prepared = age === 0 ? prepared : undefined;
	},
};

const actions = {...entryActions, ...daemonActions};

type Action = keyof typeof actions;

const weights: Readonly<Partial<Record<Action, number>>> = {
	applyRevision: 4,
	registerEntry: 3,
	acknowledgeRevision: 4,
	pick: 2,
	send: 2,
	finish: 3,
	acquireShard: 2,
	readMembership: 3,
	reserveAway: 4,
	startDrain: 2,
	finishDrain: 6,
	reboot: 3,
	startReturn: 4,
	giveBack: 4,
	commit: 12,
};

const weightedNames = (Object.keys(actions) as Action[]).flatMap((name) =>
	Array.from({length: weights[name] ?? 1}, () => name),
);

const createCommand = (name: Action, index: number, age: number) => ({
	check: () => true,
	run(_model: {steps: number}, system: System) {
		actions[name](system, index, age);
		checkProperties(system);
	},
	toString: () => `${name}(${index}, ${age})`,
});

const commands = fc.commands(
	[
		fc
			.tuple(fc.constantFrom(...weightedNames), fc.nat(1), fc.nat(2))
			.map(([name, index, age]) => createCommand(name, index, age)),
	],
	{maxCommands: 200, size: 'max'},
);

const totals = {moved: 0, returned: 0};

const runAll = (omittedGuard: Guard | undefined, numRuns: number) =>
	fc.check(
		fc.property(commands, (list) => {
			const system = createSystem(omittedGuard);
			fc.modelRun(() => ({model: {steps: 0}, real: system}), list);
			totals.moved += system.moved;
			totals.returned += system.returned;
		}),
		{seed: 23, numRuns, endOnFailure: true},
	);

tap.t.test('the properties hold for any order of commands', async (t) => {
	const result = runAll(undefined, 2000);
	t.notOk(result.failed, String(result.errorInstance));
	t.ok(totals.moved > 0, `${totals.moved} moves`);
	t.ok(totals.returned > 0, `${totals.returned} returns`);
});

const guards: ReadonlyArray<[Guard, string]> = [
	['move-counts', 'budget_kept'],
	['token', 'writes_fenced'],
	['new-life', 'give_back_new_life'],
	['membership', 'drain_cuts_nothing'],
];

for (const [guard, property] of guards) {
	tap.t.test(`without ${guard} a run breaks ${property}`, async (t) => {
		const {failed, errorInstance} = runAll(guard, 20_000);
		t.ok(failed);
		t.match(String(errorInstance), property);
	});
}

// Cases from docs/design/agreement-model.md, "Differences between the code and
// the models".
tap.t.test(
	'forget_after: a bound with a single isolation time is unsafe',
	async (t) => {
		const settings = core.membershipStatus.membershipDefaults;
		const {isolationMs, listLagMs, stallMarginMs} = settings;
		const requestMs = settings.longestRequestMs;
		const shortMs = isolationMs + listLagMs + stallMarginMs + requestMs;
		const short = {...settings, forgetAfterMs: shortMs};
		t.notOk(core.membershipStatus.isSafeSettings(short));
	},
);

tap.t.test(
	'give_back_new_life: an unknown earlier incarnation does not prove a restart',
	async (t) => {
		const evidence = {
			listed: 'live',
			incarnationBefore: '',
			incarnation: 'b',
			probesPassed: core.budget.returnDefaults.probesNeeded,
		} as const;
		t.equal(
			core.budget.findReturnBlocker(evidence, core.budget.returnDefaults),
			'not-restarted',
		);
	},
);

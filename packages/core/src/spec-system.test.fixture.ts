/** Simulated entries, daemons and rows for spec.test.ts, and its properties. */
import * as assert from 'node:assert/strict';
import {createStore} from './types/row-store.test.fixture.js';
import * as core from './index.js';
import type {
	budget,
	Instance,
	move,
	registration,
	StoreWrite,
} from './index.js';

/** Guards that a run can omit, to show that the properties depend on them. */
export type Guard = 'move-counts' | 'token' | 'new-life' | 'membership';

type RoutedRequest = {instance: string; pool: string; isSent: boolean};

type Entry = {
	incarnation: number;
	isUp: boolean;
	revision: number;
	rowVersion: number;
	sequence: number;
	picks: RoutedRequest[];
};

/** Writes that a daemon has decided on and not yet committed. */
type Prepared = {
	writes: ReadonlyArray<StoreWrite<unknown>>;
	instances: readonly Instance[];
};

type Daemon = {
	held?: core.shardLease.HeldShard | undefined;
	/** The members as last read; may be stale. */
	membership?: move.MembershipRead;
	prepared?: Prepared | undefined;
};

type Instances = ReadonlyMap<string, Instance>;

/** Instances by id. */
export const ids = ['x', 'y', 'z'];
const pools = ['a', 'b'];
const {agreementTables: tables, singleRowKey} = core;
const {tables: budgetTables} = core.budget;
const instanceTable = budgetTables.instances;
const terms = {...core.budget.noTerms, keepExecutors: 0, maxAway: 1};
/** Services by pool, one for each. */
export const servicesByPool = new Map(pools.map((pool) => [pool, [pool]]));

const createInstance = (id: string): Instance => ({
	id,
	kind: 'executor',
	address: '127.0.0.1:1',
	pool: 'a',
	epoch: 1,
	state: 'serving',
	region: 'r',
	availabilityZone: 'z',
	rack: id,
});

/** Creates a write without a condition. */
export const createPut = (table: string, key: string, value: unknown) =>
	({kind: 'put', table, key, value, when: {kind: 'any'}}) as const;

/** Creates a system with three instances in one pool and no entry running. */
export const createSystem = (omittedGuard: Guard | undefined) => {
	const store = createStore();
	const instances = ids.map((id) => createInstance(id));
	store.commit([
		createPut(tables.counter, singleRowKey, 0),
		createPut(tables.membership, singleRowKey, {}),
		...instances.map((each) => createPut(instanceTable, each.id, each)),
		...pools.map((pool) =>
			createPut(
				budgetTables.ledgers,
				pool,
				core.budget.createLedger(pool, terms, pool === 'a' ? ids : []),
			),
		),
	]);
	const history: Instances[] = [
		new Map(instances.map((each) => [each.id, each])),
	];
	return {
		left: omittedGuard,
		store,
		history,
		entries: [0, 1].map((): Entry => ({
			incarnation: 0,
			isUp: false,
			revision: 0,
			rowVersion: 0,
			sequence: 0,
			picks: [],
		})),
		daemons: [{}, {}] as Daemon[],
		/** Current incarnation of each instance, and the one last withdrawn. */
		incarnations: new Map(ids.map((id) => [id, {current: 1, withdrawn: 0}])),
		moved: 0,
		returned: 0,
	};
};

/** State of one run. */
export type System = ReturnType<typeof createSystem>;

/** Returns the instances after the newest commit. */
export const getCommittedInstances = ({history}: System) => history.at(-1)!;

/** Throws with the name of the property of spec/ that does not hold. */
export const checkProperties = (system: System) => {
	const committed = getCommittedInstances(system);
	for (const {instance, pool} of system.entries
		.flatMap(({picks}) => picks)
		.filter(({isSent}) => isSent)) {
		assert.equal(committed.get(instance)!.pool, pool, 'one_pool');
		assert.notEqual(
			committed.get(instance)!.state,
			'away',
			'drain_cuts_nothing',
		);
	}

	for (const pool of pools) {
		const ledger = system.store.read<budget.Ledger>(
			budgetTables.ledgers,
			pool,
		)!.value;
		const members = [...committed.values()].filter(
			(each) => each.pool === pool,
		);
		const off = members.filter(
			({id, state}) =>
				state !== 'serving' || ledger.entries[id]?.kind === 'away',
		);
		assert.ok(off.length <= terms.maxAway, 'budget_kept');
		assert.deepEqual(
			Object.keys(ledger.entries).sort(),
			members.map(({id}) => id).sort(),
			'ledger_matches',
		);
	}

	for (const {id, state} of committed.values()) {
		const {current, withdrawn} = system.incarnations.get(id)!;
		assert.ok(
			state !== 'serving' || current !== withdrawn,
			'give_back_new_life',
		);
	}
};

const getView = (system: System, revision: number): core.View => ({
	...core.emptyView,
	revision,
	instances: system.history[revision]!,
});

/** Creates the row of an entry with its current acknowledgement. */
export const createRegistration = (
	system: System,
	index: number,
): registration.Registration => {
	const entry = system.entries[index]!;
	const inFlight = new Map<string, number>();
	for (const {instance} of entry.picks) {
		inFlight.set(instance, (inFlight.get(instance) ?? 0) + 1);
	}

	entry.sequence += 1;
	const self = {entry: `e${index}`, incarnation: `${entry.incarnation}`};
	const acknowledged = core.acknowledgement.createAcknowledgement(
		self,
		entry.sequence,
		{
			view: getView(system, entry.revision),
			router: {routedRevision: entry.revision, inFlight},
		},
	);
	// These decisions use no other field of the row.
	const row: Pick<registration.Registration, 'acknowledged'> = {acknowledged};
	return row as registration.Registration;
};

/** Reads an instance row. */
export const readInstance = ({store}: System, id: string) =>
	store.read<Instance>(instanceTable, id)!;

/** Reads both ledgers. */
export const readLedgers = ({store}: System): budget.Ledgers =>
	new Map(
		pools.map((pool) => [
			pool,
			store.read<budget.Ledger>(budgetTables.ledgers, pool)!,
		]),
	);

/** Reads the members and their version. */
export const readMembership = ({store}: System): move.MembershipRead => ({
	version: store.read(tables.membership, singleRowKey)!.version,
	registrations: store
		.list<registration.Registration>(tables.entry)
		.map(({value}) => value),
	received: new Map(),
	outageStart: core.move.noOutageStart,
});

/** Sets the writes that the daemon commits next. */
export const prepareWrites = (
	system: System,
	daemon: Daemon,
	writes: ReadonlyArray<StoreWrite<unknown>>,
) => {
	const instances = writes.flatMap((each) =>
		each.kind === 'put' && each.table === instanceTable
			? [each.value as Instance]
			: [],
	);
	const guarded =
		system.left === 'token'
			? writes
			: core.shardLease.guardWithLease(daemon.held!, writes);
	daemon.prepared = {writes: guarded, instances};
};

/** Decides to withdraw an instance for planned maintenance. */
export const withdrawInstance = (system: System, id: string) =>
	core.budget.withdrawInstances(
		{
			operationId: 'op',
			wave: 'w',
			instances: [readInstance(system, id)],
			ledgers: readLedgers(system),
			servicesByPool,
		},
		0,
	);

const getMoveWrites = (step: move.MoveCommit): Array<StoreWrite<unknown>> => {
	const row = {
		table: tables.move,
		key: step.instance.id,
		when: step.movePrecondition,
	};
	return [
		...step.conditions,
		{
			kind: 'put',
			table: instanceTable,
			key: step.instance.id,
			value: step.instance,
			when: {kind: 'version', version: step.instanceVersion},
		},
		step.move
			? {kind: 'put', ...row, value: step.move}
			: {kind: 'delete', ...row},
	];
};

/** Updates both ledgers for a move, as in spec/ledger.pml. */
const getMovedLedgers = (
	system: System,
	id: string,
): Array<StoreWrite<unknown>> =>
	[...readLedgers(system).values()].map((read) =>
		core.budget.createLedgerPut(
			read.value.entries[id]
				? core.budget.removeEntry(read.value, id)
				: core.budget.updateEntry(read.value, id, {kind: 'serving'}),
			read.version,
		),
	);

/** Decides to move an instance to the other pool. */
export const startMove = (system: System, id: string) => {
	const instance = readInstance(system, id);
	const withdrawal = withdrawInstance(system, id);
	const started = core.move.startMove({
		instance,
		to: instance.value.pool === 'a' ? 'b' : 'a',
		author: 'ann',
		revision: system.history.length,
		isMoving: system.store.read(tables.move, id) !== undefined,
	});
	const isCounted = system.left !== 'move-counts';
	if (!started.ok || (isCounted && !withdrawal.ok)) {
		return undefined;
	}

	const withdrawalWrites =
		withdrawal.ok && isCounted ? withdrawal.value.writes : [];
	return [
		...getMoveWrites(started.value),
		...withdrawalWrites.filter(({table}) => table === budgetTables.ledgers),
	];
};

/** Finishes the drain of an instance of a wave, which has no move row. */
const finishDrain = (
	system: System,
	id: string,
	read: move.MembershipRead,
): ReadonlyArray<StoreWrite<unknown>> | undefined => {
	const {value, version} = readInstance(system, id);
	const revision = system.history.findLastIndex(
		(each, at) => each.get(id) !== system.history[at - 1]?.get(id),
	);
	const pending = core.pendingAcknowledgements.listPendingAcknowledgements(
		read.registrations,
		read.received,
		{
			revision,
			instance: id,
		},
	);
	const next = core.transition.applyTransition(value, 'finishDrain');
	return pending.length > 0 || !next.ok
		? undefined
		: [
				core.checkVersion(tables.membership, singleRowKey, read.version),
				core.budget.createRowPut(instanceTable, id, next.value, version),
			];
};

const createNextStep = (
	system: System,
	id: string,
	{held, membership}: Daemon,
): ReadonlyArray<StoreWrite<unknown>> | undefined => {
	const moving = system.store.read<move.Move>(tables.move, id);
	if (!held || !membership) {
		return undefined;
	}

	if (!moving) {
		return finishDrain(system, id, membership);
	}

	const instance = readInstance(system, id);
	const step = core.move.decideMove(moving, instance, membership, held);
	if (step.kind !== 'commit') {
		return undefined;
	}

	return step.transition === 'commitMove'
		? [...getMoveWrites(step), ...getMovedLedgers(system, id)]
		: getMoveWrites(step);
};

/** Returns the writes of the next step of a wave or move, if any. */
export const getNextStep = (
	system: System,
	id: string,
	daemon: Daemon,
): ReadonlyArray<StoreWrite<unknown>> | undefined =>
	createNextStep(system, id, daemon)?.filter(
		({table}) => system.left !== 'membership' || table !== tables.membership,
	);

/** True if an instance has a move row. */
export const isMoving = ({store}: System, id: string) =>
	store.read(tables.move, id) !== undefined;

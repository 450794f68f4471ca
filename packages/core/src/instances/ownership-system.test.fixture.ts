/** Entries and movers on one store, for the tests of ownership. */
import * as assert from 'node:assert/strict';
import {createAcknowledgement} from '../membership/acknowledgement.js';
import {
	registerEntry,
	removeEntry,
	renewRegistration,
	type Registration,
} from '../membership/registration.js';
import type {Instance} from '../types/instance.js';
import {agreementTables, singleRowKey} from '../types/store-write.js';
import {createStore} from '../types/row-store.test.fixture.js';
import {emptyView, type View} from '../types/view.js';
import {
	cancelMove,
	decideMove,
	noOutageStart,
	startMove,
	type MembershipRead,
	type Move,
	type MoveCommit,
} from './move.js';

/** Guards that a run may leave out, to show that the test needs them. */
export type Guard =
	| 'membership'
	| 'in-flight'
	| 'picked'
	| 'current-view'
	| 'monotonic'
	| 'version';

type Entry = {
	life: number;
	isUp: boolean;
	revision: number;
	rowVersion: number;
	sequence: number;
	picks: Array<{pool: string; isSent: boolean}>;
};

type Mover = {
	membership?: MembershipRead;
	prepared?: MoveCommit | undefined;
};

const first: Instance = {
	id: 'x',
	kind: 'executor',
	address: '127.0.0.1:1',
	pool: 'a',
	epoch: 1,
	state: 'serving',
	region: 'r',
	availabilityZone: 'z',
	rack: 'k',
};

const {counter} = agreementTables;

/** Creates a system with one instance that serves pool a. */
export const createSystem = (omittedGuard: Guard | undefined) => {
	const store = createStore();
	const history: Instance[] = [first];
	const entries = [0, 1, 2].map((): Entry => ({
		life: 0,
		isUp: false,
		revision: 0,
		rowVersion: 0,
		sequence: 0,
		picks: [],
	}));
	const movers: Mover[] = [{}, {}];
	store.commit([
		{
			kind: 'put',
			table: counter,
			key: singleRowKey,
			value: 0,
			when: {kind: 'any'},
		},
		{
			kind: 'put',
			table: 'instance',
			key: 'x',
			value: first,
			when: {kind: 'any'},
		},
		{
			kind: 'put',
			table: 'membership',
			key: singleRowKey,
			value: {},
			when: {kind: 'any'},
		},
		{kind: 'put', table: 'shard', key: 's', value: {}, when: {kind: 'any'}},
	]);
	return {omittedGuard, store, history, entries, movers};
};

/** Everything that a run changes. */
export type System = ReturnType<typeof createSystem>;

/** The instance as the store has it. */
export const getCommittedInstance = ({history}: System): Instance =>
	history.at(-1)!;

const viewOf = (system: System, revision: number): View => ({
	...emptyView,
	revision,
	instances: new Map([['x', system.history[revision]!]]),
});

/** Asserts what must hold after every step. */
export const checkProperties = (system: System) => {
	const truth = getCommittedInstance(system);
	for (const {picks} of system.entries) {
		for (const {pool} of picks.filter(({isSent}) => isSent)) {
			assert.equal(pool, truth.pool, 'one pool');
			assert.notEqual(truth.state, 'away', 'drain cuts nothing');
		}
	}
};

const countInFlight = (left: Guard | undefined, {picks}: Entry): number => {
	if (left === 'in-flight') {
		return 0;
	}

	return left === 'picked'
		? picks.filter(({isSent}) => isSent).length
		: picks.length;
};

const getRouter = (system: System, entry: Entry) => ({
	routedRevision: entry.revision,
	inFlight: new Map([['x', countInFlight(system.omittedGuard, entry)]]),
});

const createRegistration = (system: System, index: number): Registration => {
	const entry = system.entries[index]!;
	entry.sequence += 1;
	return {
		address: '',
		availabilityZone: '',
		heard: [],
		quorum: [],
		upMs: 60_000,
		acknowledged: createAcknowledgement(
			{entry: `e${index}`, incarnation: `${entry.life}`},
			entry.sequence,
			{view: viewOf(system, entry.revision), router: getRouter(system, entry)},
		),
	};
};

const commitStep = (system: System, step: MoveCommit): boolean => {
	const {store, history, omittedGuard} = system;
	const revision = history.length;
	const isUnguarded = omittedGuard === 'version';
	const when = isUnguarded
		? ({kind: 'any'} as const)
		: ({kind: 'version', version: step.instanceVersion} as const);
	const moveWhen = isUnguarded ? when : step.movePrecondition;
	const moveRow = {table: 'move', key: 'x', when: moveWhen};
	const conditions = step.conditions.filter(
		({table}) => !(omittedGuard === 'membership' && table === 'membership'),
	);
	const isCommitted = store.commit([
		...conditions,
		{
			kind: 'put',
			table: 'instance',
			key: 'x',
			value: step.instance,
			when,
		},
		step.move
			? {kind: 'put', ...moveRow, value: step.move}
			: {kind: 'delete', ...moveRow},
		{
			kind: 'put',
			table: counter,
			key: singleRowKey,
			value: revision,
			when: {kind: 'any'},
		},
	]);
	if (isCommitted) {
		history.push(step.instance);
	}

	return isCommitted;
};

const readMembership = ({store}: System): MembershipRead => ({
	version: store.read('membership', singleRowKey)!.version,
	registrations: store.list<Registration>('entry').map(({value}) => value),
	received: new Map(),
	outageStart: noOutageStart,
});

const decideStep = (
	system: System,
	membership: MembershipRead,
): MoveCommit | undefined => {
	const {store, history} = system;
	const instance = store.read<Instance>('instance', 'x')!;
	const move = store.read<Move>('move', 'x');
	if (!move) {
		const to = instance.value.pool === 'a' ? 'b' : 'a';
		const revision = history.length;
		const started = startMove({
			instance,
			to,
			author: 'ann',
			revision,
			isMoving: false,
		});
		return started.ok ? started.value : undefined;
	}

	const {version} = store.read('shard', 's')!;
	const step = decideMove(move, instance, membership, {shard: 's', version});
	return step.kind === 'commit' ? step : undefined;
};

/** Steps of the processes; names as in spec/. */
export const actions = {
	startEntry(system: System, index: number) {
		const entry = system.entries[index]!;
		if (!entry.isUp) {
			entry.isUp = true;
			entry.life += 1;
			entry.revision = 0;
			entry.rowVersion = 0;
		}
	},
	applyRevision(system: System, index: number, age: number) {
		const entry = system.entries[index]!;
		const read = Math.max(0, system.history.length - 1 - age);
		const isNewer =
			read > entry.revision || system.omittedGuard === 'monotonic';
		if (entry.isUp && isNewer) {
			entry.revision = read;
		}
	},
	registerEntry(system: System, index: number) {
		const entry = system.entries[index]!;
		const {store, history, omittedGuard} = system;
		const isCurrent = entry.revision === history.length - 1;
		if (!entry.isUp || entry.rowVersion > 0) {
			return;
		}

		// The version of a counter row that has moved on never matches.
		const counterVersion =
			isCurrent || omittedGuard === 'current-view'
				? store.read(counter, singleRowKey)!.version
				: -1;
		const registration = createRegistration(system, index);
		const current = {revision: entry.revision, counterVersion};
		if (store.commit(registerEntry(registration, current))) {
			entry.rowVersion = store.read('entry', `e${index}`)!.version;
		}
	},
	pick(system: System, index: number) {
		const entry = system.entries[index]!;
		const {state, pool} = system.history[entry.revision]!;
		if (entry.isUp && entry.rowVersion > 0 && state === 'serving') {
			entry.picks.push({pool, isSent: false});
		}
	},
	send(system: System, index: number) {
		const pick = system.entries[index]!.picks.find(({isSent}) => !isSent);
		if (pick) {
			pick.isSent = true;
		}
	},
	finish(system: System, index: number) {
		const {picks} = system.entries[index]!;
		const at = picks.findIndex(({isSent}) => isSent);
		if (at !== -1) {
			picks.splice(at, 1);
		}
	},
	acknowledgeRevision(system: System, index: number) {
		const entry = system.entries[index]!;
		const {store} = system;
		if (!entry.isUp || entry.rowVersion === 0) {
			return;
		}

		const registration = createRegistration(system, index);
		if (store.commit(renewRegistration(registration, entry.rowVersion))) {
			entry.rowVersion = store.read('entry', `e${index}`)!.version;
		}
	},
	crash(system: System, index: number) {
		const entry = system.entries[index]!;
		entry.isUp = false;
		entry.picks = [];
	},
	forgetEntry(system: System, index: number) {
		const entry = system.entries[index]!;
		const row = system.store.read<Registration>('entry', `e${index}`);
		const incarnation = row?.value.acknowledged.incarnation;
		if (row && (!entry.isUp || incarnation !== `${entry.life}`)) {
			system.store.commit(removeEntry(`e${index}`, row.version, 'e9'));
		}
	},
	readMembership(system: System, index: number) {
		system.movers[index % 2]!.membership = readMembership(system);
	},
	decideMove(system: System, index: number) {
		const mover = system.movers[index % 2]!;
		if (mover.membership) {
			mover.prepared = decideStep(system, mover.membership);
		}
	},
	commitMove(system: System, index: number) {
		const mover = system.movers[index % 2]!;
		if (mover.prepared) {
			commitStep(system, mover.prepared);
		}

		// A lost reply: the mover keeps its step and may send it again.
		mover.prepared = index === 2 ? mover.prepared : undefined;
	},
	cancelDrain(system: System) {
		const move = system.store.read<Move>('move', 'x');
		const instance = system.store.read<Instance>('instance', 'x');
		const step = move && cancelMove(move, instance);
		if (step?.kind === 'commit') {
			commitStep(system, step);
		}
	},
};

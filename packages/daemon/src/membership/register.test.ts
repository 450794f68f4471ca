import * as core from '@gullstand/core';
import type {followedView, Instance} from '@gullstand/core';
import {
	createMemoryInstanceList,
	createMemoryTableService,
	type TableService,
} from '@gullstand/ports';
import * as tap from 'tap';
import {createMemberState, type MemberDeps} from './member-state.js';
import {deregister, register, renew} from './register.js';

type Faults = {
	/** Loses the reply of the next commit, which took effect or did not. */
	lost: 'effect' | 'no-effect' | undefined;
};

const withFaults = (inner: TableService, faults: Faults): TableService => ({
	...inner,
	async commit(writes, id) {
		const {lost} = faults;
		faults.lost = undefined;
		const result =
			lost === 'no-effect' ? undefined : await inner.commit(writes, id);
		return lost !== undefined || !result
			? core.fail({kind: 'timeout'})
			: result;
	},
});

const instance: Instance = {
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

const followed: followedView.FollowedView = {
	deltaId: '',
	view: {...core.emptyView, instances: new Map([['x', instance]])},
};

const createFixture = async (incarnation = 'a') => {
	const memory = createMemoryTableService();
	const faults: Faults = {lost: undefined};
	const clock = {now: 1000};
	const inFlight = {count: 0};
	const deps: MemberDeps = {
		self: {entry: 'e1', incarnation},
		availabilityZone: 'z',
		table: withFaults(memory, faults),
		list: createMemoryInstanceList(),
		peers: {
			addMethod: () => undefined,
			call: async () => core.fail({kind: 'unreachable', message: ''}),
			getAddress: () => '127.0.0.1:1',
		},
		getFollowed: () => followed,
		poll: async () => undefined,
		offerDeltas: () => undefined,
		route: () => undefined,
		getInFlight: () => inFlight.count,
		confirmSnapshot: async () => false,
		settings: core.membershipStatus.membershipDefaults,
		heartbeatMs: 2000,
		listPollMs: 3000,
		acknowledgeMs: 100,
		callTimeoutMs: 1000,
		now: () => clock.now,
		logger: {
			info: () => undefined as never,
			warn: () => undefined as never,
			error: () => undefined as never,
		},
	};
	const state = createMemberState(clock.now);
	const readRow = async () => {
		const row = await memory.get('entry', 'e1');
		return row.ok ? row.value : undefined;
	};

	return {memory, faults, clock, inFlight, deps, state, readRow};
};

tap.t.test('a registration whose reply was lost is read back', async (t) => {
	const {faults, deps, state, readRow} = await createFixture();
	faults.lost = 'no-effect';
	t.equal(await register(deps, state), 'unavailable');
	t.notOk(state.isRegistered);
	faults.lost = 'effect';
	t.equal(await register(deps, state), 'registered');
	const row = await readRow();
	t.equal(state.rowVersion, row?.version);
});

tap.t.test('only a committed heartbeat confirms', async (t) => {
	const {faults, clock, deps, state} = await createFixture();
	await register(deps, state);
	t.equal(state.status.confirmedAt, 1000);
	clock.now = 2000;
	faults.lost = 'no-effect';
	await renew(deps, state);
	t.equal(state.status.confirmedAt, 1000, 'the row confirms nothing new');
	faults.lost = 'effect';
	clock.now = 3000;
	await renew(deps, state);
	t.equal(state.status.confirmedAt, 3000, 'read back by its operation id');
	clock.now = 4000;
	await renew(deps, state);
	t.equal(state.status.confirmedAt, 4000);
	t.equal(state.pendingWrites.size, 0);
});

tap.t.test('a forgotten entry stops routing and registers again', async (t) => {
	const {memory, deps, state} = await createFixture();
	await register(deps, state);
	await memory.commit(
		[{kind: 'delete', table: 'entry', key: 'e1', when: {kind: 'any'}}],
		'forget',
	);
	await renew(deps, state);
	t.notOk(state.isRegistered);
	t.notOk(
		core.membershipStatus.mayRoute(state.status, deps.settings, deps.now()),
	);
	t.equal(await register(deps, state), 'registered');
});

tap.t.test('a later incarnation ends the earlier one for good', async (t) => {
	const earlier = await createFixture('a');
	await register(earlier.deps, earlier.state);
	const later = await createFixture('b');
	const laterDeps = {...later.deps, table: earlier.memory};
	t.equal(await register(laterDeps, later.state), 'registered');
	t.ok(later.state.hasReplaced);
	await renew(earlier.deps, earlier.state);
	t.notOk(earlier.state.isRegistered);
	await t.rejects(register(earlier.deps, earlier.state), /taken the place/u);
});

tap.t.test(
	'the row stays while an executor may run its requests',
	async (t) => {
		const {inFlight, deps, state, readRow} = await createFixture();
		await register(deps, state);
		inFlight.count = 1;
		await deregister(deps, state);
		t.ok(await readRow());
		inFlight.count = 0;
		await register(deps, state);
		await deregister(deps, state);
		t.notOk(await readRow());
	},
);

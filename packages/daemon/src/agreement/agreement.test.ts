/** Runs several daemons in one process, over sockets, on one platform. */
import {setTimeout as wait} from 'node:timers/promises';
import * as tap from 'tap';
import {request} from 'undici';
import {
	call,
	isServing,
	now,
	requestMove,
	readInstance,
	startCallers,
	startFleet,
	times,
	waitUntil,
} from './fleet.test.fixture.js';

/** An entry is isolated after half a second, and forgotten after 1.7 s. */
const shortTimes = {
	...times,
	leaseMs: 600,
	membership: {
		isolationMs: 500,
		listLagMs: 100,
		stallMarginMs: 400,
		longestRequestMs: 200,
		forgetAfterMs: 1700,
	},
};

tap.t.test('instances move under load without a mixed request', async (t) => {
	const fleet = await startFleet(t);
	const {state, stop} = startCallers(fleet);
	for (const [instance, to] of [
		['x1', 'claims'],
		['x1', 'quote'],
		['x3', 'quote'],
		['x3', 'claims'],
	] as const) {
		t.ok(await requestMove(fleet, instance, to));
		await waitUntil(async () => isServing(fleet, instance, to));
		const executor = fleet.executors[Number(instance.slice(1))]!;
		const runs = executor.countRuns();
		await waitUntil(() => executor.countRuns() > runs);
	}

	await stop();
	t.same(state.wrong, []);
	t.ok(state.answers > 0);
	for (const executor of fleet.executors) {
		t.equal(executor.countMixed(), 0);
	}
});

tap.t.test('a move waits for an entry that is cut off', async (t) => {
	const fleet = await startFleet(t);
	const [first, , last] = fleet.entries;
	last!.cut.isCut = true;
	// The peer channel of the last entry stops as well.
	await last!.daemon.agreement.peers.stop(now());
	t.ok(await requestMove(fleet, 'x1', 'claims'));
	const requirement = {revision: 2, instance: 'x1'};
	const readPendingEntries = async () => {
		const pending =
			await first!.daemon.agreement.member.readPendingAcknowledgements(
				requirement,
			);
		return pending.ok ? pending.value.map(({entry}) => entry) : ['unread'];
	};

	await waitUntil(async () => {
		const pending = await readPendingEntries();
		return pending.join(' ') === 'e3';
	});
	await wait(500);
	const {state} = await readInstance(fleet, 'x1');
	t.equal(state, 'draining');
	t.same(await readPendingEntries(), ['e3']);

	// An unauthenticated message in the name of e3 has no effect.
	const {peers, member} = first!.daemon.agreement;
	const res = await request(`http://${peers.getAddress()}/peer`, {
		method: 'POST',
		headers: {'gullstand-peer': 'e3', 'gullstand-signature': '00'},
		body: JSON.stringify({
			jsonrpc: '2.0',
			id: 1,
			method: 'acknowledge',
			params: {
				entry: 'e3',
				incarnation:
					member.getReceivedAcknowledgements().get('e3')?.incarnation ?? 'x',
				sequence: 99_999,
				inForce: 99,
				holding: [],
			},
		}),
	});
	await res.body.arrayBuffer();
	t.equal(res.statusCode, 401);
	t.same(await readPendingEntries(), ['e3']);

	last!.cut.isCut = false;
	await waitUntil(async () => isServing(fleet, 'x1', 'claims'));
	t.pass('the move ends when the entry is back');
});

tap.t.test('an entry starts during an outage and serves', async (t) => {
	const fleet = await startFleet(t);
	const late = await fleet.startEntry('e4');
	for (const {cut} of [...fleet.entries, late]) {
		cut.isCut = true;
	}

	await fleet.run(late);
	t.equal(late.daemon.agreement.member.getStatus().mode, 'sponsored');
	t.notOk(late.daemon.agreement.member.mayControl());
	t.same(await call(late.daemon, 'quote'), {status: 200, text: 'quote'});
	for (const {daemon} of fleet.entries) {
		t.same(await call(daemon, 'claims'), {status: 200, text: 'claims'});
	}

	for (const {cut} of [...fleet.entries, late]) {
		cut.isCut = false;
	}

	await waitUntil(() => late.daemon.agreement.member.mayControl());
	t.equal(late.daemon.agreement.member.getStatus().mode, 'registered');
});

tap.t.test(
	'a sponsored entry keeps its sponsor without the list',
	async (t) => {
		const fleet = await startFleet(t, shortTimes);
		const late = await fleet.startEntry('e4');
		for (const {cut} of [...fleet.entries, late]) {
			cut.isCut = true;
		}

		await fleet.run(late);
		const {member} = late.daemon.agreement;
		t.equal(member.getStatus().mode, 'sponsored');
		for (const id of ['e1', 'e2', 'e3', 'e4']) {
			fleet.list.remove(id);
		}

		await wait(3 * shortTimes.membership.isolationMs);
		t.equal(member.getStatus().mode, 'sponsored');
		// A process paused for the isolation time stays isolated until its sponsor
		// confirms it again; without a sponsor it would stay so for good.
		let answer: Awaited<ReturnType<typeof call>> | undefined;
		await waitUntil(async () => {
			answer = await call(late.daemon, 'quote');
			return answer.status === 200;
		});
		t.same(answer, {status: 200, text: 'quote'});
		t.ok(member.mayRoute());
	},
);

tap.t.test('shards are distributed, and handed over at a stop', async (t) => {
	const fleet = await startFleet(t);
	const listHeld = (index: number) =>
		fleet.entries[index]!.daemon.agreement.leases.listHeld();
	const count = () => [0, 1, 2].map((index) => listHeld(index).length);
	await waitUntil(() => count().join(' ') === '1 1 1');
	const {shard, token: before} = listHeld(2)[0]!;
	await fleet.entries[2]!.daemon.stop();
	const findHolder = () =>
		[...listHeld(0), ...listHeld(1)].find((each) => each.shard === shard);
	await waitUntil(() => findHolder() !== undefined, times.leaseMs - 1000);
	t.ok(findHolder()!.token > before);
});

tap.t.test('a killed entry is forgotten and a move continues', async (t) => {
	const fleet = await startFleet(t, shortTimes);
	const last = fleet.entries[2]!;
	// To the platform and its peers, the process appears terminated.
	last.cut.isCut = true;
	fleet.list.remove('e3');
	await last.daemon.agreement.peers.stop(now());
	t.ok(await requestMove(fleet, 'x1', 'claims'));
	await waitUntil(() => !last.daemon.agreement.member.mayRoute());
	const {state} = await readInstance(fleet, 'x1');
	t.equal(state, 'draining', 'it stops routing before it is forgotten');
	const {status} = await call(last.daemon, 'quote');
	t.equal(status, 503);
	await waitUntil(async () => isServing(fleet, 'x1', 'claims'));
	const {member} = fleet.entries[0]!.daemon.agreement;
	await waitUntil(() => !member.getMembers().registrations.has('e3'));
	t.pass('it is forgotten');
});

for (const hasList of [true, false]) {
	const name = hasList ? 'the list' : 'each other';
	tap.t.test(`a long outage: entries confirmed by ${name}`, async (t) => {
		const fleet = await startFleet(t, shortTimes);
		const late = await fleet.startEntry('e4');
		const {entries, list} = fleet;
		// The row of each entry must name all three before the outage.
		await waitUntil(() =>
			entries.every(
				({daemon}) =>
					daemon.agreement.member.getMembers().registrations.size === 3,
			),
		);
		await wait(2 * times.heartbeatMs);
		for (const {cut} of [...entries, late]) {
			cut.isCut = true;
		}

		await fleet.run(late);
		if (!hasList) {
			for (const {id} of entries) {
				list.remove(id);
			}
		}

		await wait(4 * shortTimes.membership.isolationMs);
		for (const {daemon} of [...entries, late]) {
			t.same(await call(daemon, 'quote'), {status: 200, text: 'quote'});
		}
	});
}

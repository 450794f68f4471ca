import * as fc from 'fast-check';
import * as tap from 'tap';
import {
	createSimulation,
	ids,
	maxAway,
	runRounds,
	type Fault,
} from './wave-simulation.test.fixture.js';

tap.t.test('a wave maintains every instance once', async (t) => {
	const world = await createSimulation();
	await runRounds(world, 1, 60);
	const {state} = await world.readWave();
	t.equal(state, 'done');
	t.equal(world.verdict.overspent, 0);
	t.same(
		ids.map((id) => world.verdict.reboots.get(id)),
		ids.map(() => 1),
	);
	t.equal(world.countAway(), 0);
});

tap.t.test('killed at any commit, another entry goes on', async (t) => {
	for (let at = 0; at < 40; at += 1) {
		const world = await createSimulation();
		world.faults.push(
			...Array.from({length: at}, () => 'none' as const),
			'killed',
		);
		await runRounds(world, 1, 80);
		const {state} = await world.readWave();
		t.equal(state, 'done', `killed at commit ${at}`);
		t.equal(world.verdict.overspent, 0);
	}
});

tap.t.test(
	'racing runners, lost replies and outages never overspend',
	async (t) => {
		const fault = fc.constantFrom<Fault>(
			'none',
			'none',
			'none',
			'unavailable',
			'lost-reply',
			'lost-request',
			'killed',
		);
		const property = fc.asyncProperty(
			fc.array(fault, {minLength: 40, maxLength: 80}),
			fc.integer({min: 1, max: 3}),
			async (drawn, runners) => {
				const world = await createSimulation();
				world.faults.push(...drawn);
				await runRounds(world, runners, 200);
				const {state} = await world.readWave();
				return (
					state === 'done' &&
					world.verdict.overspent === 0 &&
					world.countAway() === 0
				);
			},
		);
		await fc.assert(property, {seed: 11, numRuns: 25});
		t.pass();
	},
);

tap.t.test('a store outage: no new take is announced', async (t) => {
	const world = await createSimulation();
	world.faults.push(...Array.from({length: 300}, () => 'unavailable' as const));
	await runRounds(world, 1, 20);
	t.equal(world.countAway(), 0);
	t.equal(world.verdict.reboots.size, 0);
	world.faults.length = 0;
	await runRounds(world, 1, 60);
	const {state} = await world.readWave();
	t.equal(state, 'done');
});

tap.t.test(
	'loss uses the budget: nothing is taken until it is back',
	async (t) => {
		const world = await createSimulation();
		world.setListed('a', 'leaving');
		world.setListed('b', 'leaving');
		await runRounds(world, 1, 10);
		t.equal(world.countAway(), 0);
		world.setListed('a', 'live');
		world.setListed('b', 'live');
		await runRounds(world, 1, 60);
		const {state} = await world.readWave();
		t.equal(state, 'done');
	},
);

tap.t.test(
	'no restart while an entry may start from an older snapshot',
	async (t) => {
		const world = await createSimulation();
		world.outageStart.snapshotRevision = 1;
		await runRounds(world, 1, 10);
		t.equal(world.verdict.reboots.size, 0);
		world.outageStart.snapshotRevision = Number.POSITIVE_INFINITY;
		world.outageStart.markerWaitMs = 10;
		world.outageStart.markerUnchangedMs = 9;
		await runRounds(world, 1, 10);
		t.equal(world.verdict.reboots.size, 0);
		world.outageStart.markerUnchangedMs = 10;
		await runRounds(world, 1, 60);
		t.equal(world.verdict.reboots.size, ids.length);
	},
);

tap.t.test('a contract changed in mid-round binds the next take', async (t) => {
	const world = await createSimulation();
	// The change comes after the ledgers were followed, before the first take.
	world.hooks.push(async () => world.setMaxAway(0));
	await runRounds(world, 1, 5);
	t.equal(world.countAway(), 0);
	await world.setMaxAway(maxAway);
	await runRounds(world, 1, 60);
	const {state} = await world.readWave();
	t.equal(state, 'done');
});

for (const state of ['paused', 'cancelled'] as const) {
	tap.t.test(
		`${state}: what is away comes back, nothing more goes`,
		async (t) => {
			const world = await createSimulation();
			await runRounds(world, 1, 3);
			t.ok(world.countAway() > 0);
			await world.setState(state);
			await runRounds(world, 1, 20);
			t.equal(world.countAway(), 0);
			const {size} = world.verdict.reboots;
			await runRounds(world, 1, 20);
			t.equal(world.verdict.reboots.size, size);
		},
	);
}

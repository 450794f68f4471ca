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
	const simulation = await createSimulation();
	await runRounds(simulation, 1, 60);
	const {state} = await simulation.readWave();
	t.equal(state, 'done');
	t.equal(simulation.counts.overspent, 0);
	t.same(
		ids.map((id) => simulation.counts.reboots.get(id)),
		ids.map(() => 1),
	);
	t.equal(simulation.countAway(), 0);
});

tap.t.test('after a kill at any commit, another entry continues', async (t) => {
	for (let at = 0; at < 40; at += 1) {
		const simulation = await createSimulation();
		simulation.faults.push(
			...Array.from({length: at}, () => 'none' as const),
			'killed',
		);
		await runRounds(simulation, 1, 80);
		const {state} = await simulation.readWave();
		t.equal(state, 'done', `killed at commit ${at}`);
		t.equal(simulation.counts.overspent, 0);
	}
});

tap.t.test(
	'racing runners, lost replies and outages never exceed the budget',
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
				const simulation = await createSimulation();
				simulation.faults.push(...drawn);
				await runRounds(simulation, runners, 200);
				const {state} = await simulation.readWave();
				return (
					state === 'done' &&
					simulation.counts.overspent === 0 &&
					simulation.countAway() === 0
				);
			},
		);
		await fc.assert(property, {seed: 11, numRuns: 25});
		t.pass();
	},
);

tap.t.test('nothing is withdrawn during a store outage', async (t) => {
	const simulation = await createSimulation();
	simulation.faults.push(
		...Array.from({length: 300}, () => 'unavailable' as const),
	);
	await runRounds(simulation, 1, 20);
	t.equal(simulation.countAway(), 0);
	t.equal(simulation.counts.reboots.size, 0);
	simulation.faults.length = 0;
	await runRounds(simulation, 1, 60);
	const {state} = await simulation.readWave();
	t.equal(state, 'done');
});

tap.t.test('lost capacity uses the budget until it recovers', async (t) => {
	const simulation = await createSimulation();
	simulation.setListed('a', 'leaving');
	simulation.setListed('b', 'leaving');
	await runRounds(simulation, 1, 10);
	t.equal(simulation.countAway(), 0);
	simulation.setListed('a', 'live');
	simulation.setListed('b', 'live');
	await runRounds(simulation, 1, 60);
	const {state} = await simulation.readWave();
	t.equal(state, 'done');
});

tap.t.test(
	'no restart while an entry may start from an older snapshot',
	async (t) => {
		const simulation = await createSimulation();
		simulation.outageStart.snapshotRevision = 1;
		await runRounds(simulation, 1, 10);
		t.equal(simulation.counts.reboots.size, 0);
		simulation.outageStart.snapshotRevision = Number.POSITIVE_INFINITY;
		simulation.outageStart.markerWaitMs = 10;
		simulation.outageStart.markerUnchangedMs = 9;
		await runRounds(simulation, 1, 10);
		t.equal(simulation.counts.reboots.size, 0);
		simulation.outageStart.markerUnchangedMs = 10;
		await runRounds(simulation, 1, 60);
		t.equal(simulation.counts.reboots.size, ids.length);
	},
);

tap.t.test(
	'a contract changed in mid-round binds the next withdrawal',
	async (t) => {
		const simulation = await createSimulation();
		// Changes the contract after the ledgers are read, before a withdrawal.
		simulation.hooks.push(async () => simulation.setMaxAway(0));
		await runRounds(simulation, 1, 5);
		t.equal(simulation.countAway(), 0);
		await simulation.setMaxAway(maxAway);
		await runRounds(simulation, 1, 60);
		const {state} = await simulation.readWave();
		t.equal(state, 'done');
	},
);

for (const state of ['paused', 'cancelled'] as const) {
	tap.t.test(
		`${state}: instances return and no more are withdrawn`,
		async (t) => {
			const simulation = await createSimulation();
			await runRounds(simulation, 1, 3);
			t.ok(simulation.countAway() > 0);
			await simulation.setState(state);
			await runRounds(simulation, 1, 20);
			t.equal(simulation.countAway(), 0);
			const {size} = simulation.counts.reboots;
			await runRounds(simulation, 1, 20);
			t.equal(simulation.counts.reboots.size, size);
		},
	);
}

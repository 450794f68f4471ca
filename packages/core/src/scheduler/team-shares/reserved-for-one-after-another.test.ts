/**
 * Guards against a service whose only executor is kept for one wide task after
 * another, none of which fits there soon, while small ones wait.
 */
import * as tap from 'tap';
import type * as scheduler from '../index.js';
import {
	createAccepted,
	createListed,
	testConfig,
} from '../owner.test.fixture.js';
import {simulateMaintenance} from '../plan/maintained-service.test.fixture.js';

/** No job stands for this long in a calm time, in milliseconds. */
const maxStandingMs = 3000;

const toResources = (cpuMillis: number): scheduler.Resources => ({
	cpuMillis,
	memoryMb: 10,
	accelerators: 0,
});

type Case = {
	readonly name: string;
	/** Duration of the run that the wide tasks wait for, in milliseconds. */
	readonly presentMs: number;
	/** Jobs with a wide task, one for each team. */
	readonly wide: number;
	/** What the wide tasks take, in thousandths of a core. */
	readonly wideCpu: number;
};

// One executor of eight cores, of which three are in use.
const cases: readonly Case[] = [
	{name: 'one wide task', presentMs: 20_000, wide: 1, wideCpu: 6000},
	{name: 'five wide tasks', presentMs: 20_000, wide: 5, wideCpu: 6000},
	{name: 'five that fit soon', presentMs: 2000, wide: 5, wideCpu: 6000},
];

for (const {name, presentMs, wide, wideCpu} of cases) {
	tap.t.test(`small tasks beside ${name}`, async (t) => {
		const capacity = {cpuMillis: 8000, memoryMb: 1000, accelerators: 0};
		const world = simulateMaintenance({
			executors: [createListed('x0', {capacity})],
			asked: [],
			patienceMs: 0,
			from: Number.POSITIVE_INFINITY,
			cfg: {...testConfig, sharesRoomBetweenTeams: true},
		});
		const submit = (
			id: string,
			team: string,
			step: Partial<scheduler.StepSpec>,
		) => {
			const policy = {stretch: 20, targetLatencyMs: 60_000};
			world.submit({...createAccepted(id, [step], {policy}), team});
		};

		submit('p', 'p', {estimateMs: presentMs, resources: toResources(3000)});
		world.advanceTo(500);
		for (let index = 0; index < wide; index += 1) {
			submit(`w${index}`, `w${index}`, {resources: toResources(wideCpu)});
		}

		const submittedAt: number[] = [];
		for (let index = 0; index < 30; index += 1) {
			submittedAt.push(world.now());
			submit(`j${index}`, 's', {resources: toResources(500)});
			world.advanceTo(world.now() + 500);
		}

		const longestMs = Math.max(
			...submittedAt.map(
				(at, index) =>
					(world.startedAt.get(`j${index}.0.0.0`) ?? Number.POSITIVE_INFINITY) -
					at,
			),
		);
		t.ok(longestMs < maxStandingMs, `a small task waits ${longestMs} ms`);
		t.ok(world.owner.roomShares.counts.shortPlans > 0, 'room was short');
	});
}

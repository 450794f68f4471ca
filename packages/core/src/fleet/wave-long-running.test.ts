/**
 * Machines with lasting tasks take longer than a turn to be emptied, since
 * such tasks leave one at a time within their budget. They are ranked last; a
 * wave that empties only as many at once as its time asks for by the usual
 * turn begins with them when no time is left for them.
 */
import * as tap from 'tap';
import * as fleet from './index.js';

const turnMs = 4500;
const durationMs = 20_000;
const maxAway = 16;
const count = 40;
const maintenanceMs = 2000;

type Case = {
	readonly name: string;
	/** Machines with a lasting task. */
	readonly lasting: number;
	/** Time until such a machine is empty. */
	readonly lastingMs: number;
};

const cases: readonly Case[] = [
	{name: 'no machine holds what lasts', lasting: 0, lastingMs: 0},
	{
		name: 'a quarter of them takes 8 s to be emptied',
		lasting: 10,
		lastingMs: 8000,
	},
];

const runWave = ({lasting, lastingMs}: Case): number => {
	const ids = Array.from({length: count}, (_, index) => `m${index}`);
	const holdsLasting = new Set(ids.slice(0, lasting));
	const emptyMs = (id: string) => (holdsLasting.has(id) ? lastingMs : 1400);
	let wave = fleet.createMachineWave(
		{id: '1', machines: ids, durationMs, maxAway},
		0,
	);
	const emptying = new Set<string>();
	const since = new Map<string, number>();
	const begunAt = new Map<string, number>();
	for (let now = 0; now < 3 * durationMs; now += 150) {
		const machines = new Map(
			ids.map((id) => {
				const begun = begunAt.get(id);
				const isBack = begun !== undefined && now - begun >= maintenanceMs;
				const machine: fleet.WaveMachine = {
					id,
					pool: 's',
					isUp: begun === undefined || isBack,
					executorId: isBack ? `new-${id}` : `old-${id}`,
				};
				return [id, machine] as const;
			}),
		);
		wave = fleet.recordReturnedMachines(wave, machines, now);
		if (fleet.isWaveCompleted(wave, machines)) {
			return now;
		}

		const step = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating: emptying,
				getLoad: ({id}) => ({
					runs: 1,
					lasting: holdsLasting.has(id) ? 1 : 0,
					usedCpu: 1,
				}),
				turnaroundMs: turnMs,
			},
			now,
		);
		for (const id of step.evacuate) {
			emptying.add(id);
			since.set(id, since.get(id) ?? now);
		}

		const clear = step.evacuate
			.filter((id) => now - since.get(id)! >= emptyMs(id))
			.slice(0, step.maxStarts);
		for (const id of clear) {
			wave = fleet.recordMaintenanceStart(wave, machines.get(id)!, now);
			wave = fleet.recordCommandAccepted(wave, id);
			begunAt.set(id, now);
			emptying.delete(id);
		}
	}

	return Number.POSITIVE_INFINITY;
};

for (const each of cases) {
	tap.t.test(`a wave ends in time: ${each.name}`, async (t) => {
		const endedAt = runWave(each);
		t.ok(endedAt <= durationMs, `it ended after ${endedAt} ms`);
	});
}

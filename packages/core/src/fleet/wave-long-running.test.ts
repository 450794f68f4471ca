/**
 * Guards against waves that end late because machines with long-running tasks,
 * which take longer than one turnaround to evacuate, start last.
 */
import * as tap from 'tap';
import * as fleet from './index.js';

const turnaroundMs = 4500;
const durationMs = 20_000;
const maxAway = 16;
const count = 40;
const maintenanceMs = 2000;

type Case = {
	readonly name: string;
	/** Machines with a long-running task. */
	readonly longRunning: number;
	/** Time to evacuate such a machine, in milliseconds. */
	readonly longRunningMs: number;
};

const cases: readonly Case[] = [
	{
		name: 'no machine has a long-running task',
		longRunning: 0,
		longRunningMs: 0,
	},
	{
		name: 'a quarter of them takes 8 s to evacuate',
		longRunning: 10,
		longRunningMs: 8000,
	},
];

const runWave = ({longRunning, longRunningMs}: Case): number => {
	const ids = Array.from({length: count}, (_, index) => `m${index}`);
	const longRunningIds = new Set(ids.slice(0, longRunning));
	const evacuationMs = (id: string) =>
		longRunningIds.has(id) ? longRunningMs : 1400;
	let wave = fleet.createMachineWave(
		{id: '1', machines: ids, durationMs, maxAway},
		0,
	);
	const evacuating = new Set<string>();
	const startedAt = new Map<string, number>();
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
					isInMaintenance: begun !== undefined && !isBack,
					executorId: isBack ? `new-${id}` : `old-${id}`,
				};
				return [id, machine] as const;
			}),
		);
		wave = fleet.observeMachines(wave, machines, now);
		if (fleet.isWaveCompleted(wave, machines)) {
			return now;
		}

		const step = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating,
				getLoad: ({id}) => ({
					runs: 1,
					lasting: longRunningIds.has(id) ? 1 : 0,
					usedCpu: 1,
				}),
				turnaroundMs,
			},
			now,
		);
		for (const id of step.evacuate) {
			evacuating.add(id);
			startedAt.set(id, startedAt.get(id) ?? now);
		}

		const evacuated = step.evacuate
			.filter((id) => now - startedAt.get(id)! >= evacuationMs(id))
			.slice(0, step.maxStarts);
		for (const id of evacuated) {
			wave = fleet.recordCommand(wave, machines.get(id)!, now);
			wave = fleet.recordVerdict(wave, id, 'accepted', now);
			begunAt.set(id, now);
			evacuating.delete(id);
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

import * as tap from 'tap';
import * as fleet from './index.js';

const request = {
	id: '1',
	machines: ['a', 'b', 'c'],
	durationMs: 20_000,
	maxAway: 1,
};

const createMachine = (
	id: string,
	changes: Partial<fleet.WaveMachine> = {},
): fleet.WaveMachine => ({
	id,
	pool: 's',
	isUp: true,
	executorId: `${id}-1`,
	...changes,
});

const mapOf = (machines: readonly fleet.WaveMachine[]) =>
	new Map(machines.map((each) => [each.id, each]));

const all = mapOf(['a', 'b', 'c'].map((id) => createMachine(id)));

const noLoad = () => undefined;

/** Time that one machine takes, in milliseconds. */
const turnMs = 4000;

const step = (
	wave: fleet.MachineWave,
	machines: ReadonlyMap<string, fleet.WaveMachine> = all,
) =>
	fleet.stepMachineWave(
		wave,
		{machines, evacuating: new Set(), getLoad: noLoad, turnaroundMs: turnMs},
		0,
	);

const begin = (ids: readonly string[]) => {
	let wave = fleet.createMachineWave(request, 0);
	for (const id of ids) {
		wave = fleet.recordMaintenanceStart(wave, all.get(id)!, 0);
	}

	return wave;
};

tap.t.test('no more begin than may be away', async (t) => {
	t.equal(step(begin([])).maxStarts, 1);
	t.equal(step(begin(['a'])).maxStarts, 0);
	t.equal(step(begin(['a', 'b'])).maxStarts, 0, 'never below none');
});

type Return = {
	readonly name: string;
	readonly machine: fleet.WaveMachine | undefined;
	readonly isAnswered: boolean;
	readonly at: number;
	readonly isBack: boolean;
};

const returns: readonly Return[] = [
	{
		name: 'up with another executor',
		machine: createMachine('a', {executorId: 'a-2'}),
		isAnswered: true,
		at: 100,
		isBack: true,
	},
	{
		name: 'up with the same executor: not begun yet',
		machine: createMachine('a'),
		isAnswered: true,
		at: 100,
		isBack: false,
	},
	{
		name: 'down',
		machine: createMachine('a', {isUp: false, executorId: undefined}),
		isAnswered: true,
		at: 60_000,
		isBack: false,
	},
	{
		name: 'up with no executor yet',
		machine: createMachine('a', {executorId: undefined}),
		isAnswered: true,
		at: 100,
		isBack: false,
	},
	{
		name: 'gone for good',
		machine: undefined,
		isAnswered: false,
		at: 100,
		isBack: true,
	},
	{
		name: 'maintained by an earlier order',
		machine: createMachine('a'),
		isAnswered: true,
		at: 20_000,
		isBack: true,
	},
	{
		name: 'not answered, and may begin yet',
		machine: createMachine('a'),
		isAnswered: false,
		at: 20_000,
		isBack: false,
	},
];

for (const {name, machine, isAnswered, at, isBack} of returns) {
	tap.t.test(`a machine that is ${name}`, async (t) => {
		const begun = begin(['a']);
		const wave = isAnswered ? fleet.recordCommandAccepted(begun, 'a') : begun;
		const machines = mapOf(machine ? [machine] : []);
		t.equal(
			fleet.recordReturnedMachines(wave, machines, at).begun.a!.isBack,
			isBack,
		);
	});
}

tap.t.test(
	'completed when all that are there are back, and not before',
	async (t) => {
		let wave = begin(['a', 'b']);
		t.notOk(step(wave).isCompleted, 'c has not begun');
		const without = mapOf([...all.values()].filter(({id}) => id !== 'c'));
		t.notOk(step(wave, without).isCompleted, 'a and b are away');
		for (const id of ['a', 'b']) {
			wave = fleet.skipMachine(wave, id);
		}

		t.ok(step(wave, without).isCompleted);
		t.notOk(step(wave).isCompleted);
	},
);

tap.t.test('an order that was not carried out is pending again', async (t) => {
	const wave = fleet.undoMaintenanceStart(begin(['a']), 'a');
	t.equal(step(wave).maxStarts, 1);
	t.equal(fleet.countAway(wave), 0);
});

tap.t.test(
	'the least busy machine is emptied first, one begun goes on',
	async (t) => {
		const wave = fleet.createMachineWave(request, 0);
		const loads: Record<string, fleet.MachineLoad> = {
			a: {runs: 3, lasting: 0, usedCpu: 1},
			b: {runs: 1, lasting: 1, usedCpu: 1},
			c: {runs: 1, lasting: 0, usedCpu: 1},
		};
		const getLoad = ({id}: fleet.WaveMachine) => loads[id];
		const choose = (emptying: readonly string[]) =>
			fleet.stepMachineWave(
				wave,
				{
					machines: all,
					evacuating: new Set(emptying),
					getLoad,
					turnaroundMs: turnMs,
				},
				0,
			).evacuate;
		t.same(choose([]), ['c']);
		t.same(choose(['a']), ['a']);
	},
);

tap.t.test('what runs is not waited for once the time is short', async (t) => {
	const wave = fleet.createMachineWave(request, 0);
	t.notOk(fleet.isShortOfTime(wave, all, 4000, 5000));
	t.ok(
		fleet.isShortOfTime(wave, all, 4000, 9000),
		'three turns of 4 s in 11 s',
	);
});

type PaceCase = {
	readonly name: string;
	/** Machines with work; the others have none. */
	readonly busy: number;
	readonly away?: number;
	readonly emptying?: number;
	readonly at: number;
	/** Machines that are emptied, those with work and those without. */
	readonly evacuated: readonly [busy: number, idle: number];
};

// 40 machines in 20 s with 16 away at most; each takes 4 s.
const paceCases: readonly PaceCase[] = [
	{
		name: 'of those at work as many as end in time with one turn to spare',
		busy: 40,
		at: 0,
		evacuated: [10, 0],
	},
	{
		name: 'those away and those being emptied count',
		busy: 36,
		away: 4,
		emptying: 3,
		at: 0,
		evacuated: [6, 0],
	},
	{
		name: 'idle ones at once, as many as may be away',
		busy: 20,
		at: 0,
		evacuated: [0, 16],
	},
	{
		name: 'idle ones stay while none may begin',
		busy: 10,
		away: 16,
		at: 0,
		evacuated: [0, 0],
	},
	{
		name: 'more at once when the time is short',
		busy: 40,
		at: 14_000,
		evacuated: [16, 0],
	},
];

for (const each of paceCases) {
	tap.t.test(`machines to empty: ${each.name}`, async (t) => {
		const ids = Array.from({length: 40}, (_, index) => `m${index}`);
		const machines = mapOf(ids.map((id) => createMachine(id)));
		const busy = new Set(ids.slice(40 - each.busy));
		const emptying = new Set([...busy].slice(0, each.emptying ?? 0));
		let wave = fleet.createMachineWave(
			{id: '1', machines: ids, durationMs: 20_000, maxAway: 16},
			0,
		);
		for (const id of ids.slice(0, each.away ?? 0)) {
			wave = fleet.recordMaintenanceStart(wave, machines.get(id)!, 0);
		}

		const {evacuate} = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating: emptying,
				getLoad: ({id}) =>
					busy.has(id) ? {runs: 1, lasting: 0, usedCpu: 1} : undefined,
				turnaroundMs: turnMs,
			},
			each.at,
		);
		const ofBusy = evacuate.filter((id) => busy.has(id)).length;
		t.same([ofBusy, evacuate.length - ofBusy], each.evacuated);
	});
}

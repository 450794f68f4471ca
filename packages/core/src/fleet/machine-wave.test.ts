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
	isInMaintenance: false,
	executorId: `${id}-1`,
	...changes,
});

const mapOf = (machines: readonly fleet.WaveMachine[]) =>
	new Map(machines.map((each) => [each.id, each]));

const all = mapOf(['a', 'b', 'c'].map((id) => createMachine(id)));

const noLoad = () => undefined;

/** Turnaround time of one machine, in milliseconds. */
const turnaroundMs = 4000;

const step = (
	wave: fleet.MachineWave,
	machines: ReadonlyMap<string, fleet.WaveMachine> = all,
) =>
	fleet.stepMachineWave(
		wave,
		{
			machines,
			evacuating: new Set(),
			getLoad: noLoad,
			turnaroundMs,
		},
		0,
	);

const begin = (ids: readonly string[]) => {
	let wave = fleet.createMachineWave(request, 0);
	for (const id of ids) {
		wave = fleet.recordCommand(wave, all.get(id)!, 0);
	}

	return wave;
};

tap.t.test('no more machines start than may be away', async (t) => {
	t.equal(step(begin([])).maxStarts, 1);
	t.equal(step(begin(['a'])).maxStarts, 0);
	t.equal(step(begin(['a', 'b'])).maxStarts, 0, 'never negative');
});

type Return = {
	readonly name: string;
	readonly machine: fleet.WaveMachine | undefined;
	readonly verdict: fleet.CommandVerdict;
	/** When the command is answered, in milliseconds; by default at once. */
	readonly answeredAt?: number;
	readonly at: number;
	/** `undefined` once the machine is pending again. */
	readonly kind: fleet.MaintenanceProgress['kind'] | undefined;
};

const replaced = createMachine('a', {executorId: 'a-2'});

const returns: readonly Return[] = [
	{
		name: 'up with another executor',
		machine: replaced,
		verdict: 'accepted',
		at: 2000,
		kind: 'returned',
	},
	{
		name: 'up with another executor on a list of the past',
		machine: replaced,
		verdict: 'accepted',
		at: 100,
		kind: 'accepted',
	},
	{
		name: 'up with another executor and no answer, which a crash explains',
		machine: replaced,
		verdict: 'unknown',
		at: 60_000,
		kind: 'unanswered',
	},
	{
		name: 'up with the same executor: maintenance has not started',
		machine: createMachine('a'),
		verdict: 'accepted',
		at: 2000,
		kind: 'accepted',
	},
	{
		name: 'down',
		machine: createMachine('a', {isUp: false, executorId: undefined}),
		verdict: 'accepted',
		at: 60_000,
		kind: 'accepted',
	},
	{
		name: 'up with no executor yet',
		machine: createMachine('a', {executorId: undefined}),
		verdict: 'accepted',
		at: 4000,
		kind: 'accepted',
	},
	{
		name: 'not listed and accepted',
		machine: undefined,
		verdict: 'accepted',
		at: 60_000,
		kind: 'accepted',
	},
	{
		name: 'not listed and not answered',
		machine: undefined,
		verdict: 'unknown',
		at: 60_000,
		kind: 'unanswered',
	},
	{
		name: 'maintained by an earlier command',
		machine: createMachine('a'),
		verdict: 'accepted',
		at: 3000,
		kind: 'returned',
	},
	{
		name: 'not accepted yet and may still start',
		machine: createMachine('a'),
		verdict: 'unknown',
		at: 20_000,
		kind: 'unanswered',
	},
	{
		name: 'not of the wave',
		machine: createMachine('a'),
		verdict: 'not-in-wave',
		answeredAt: 3000,
		at: 20_000,
		kind: 'not-in-wave',
	},
	{
		name: 'unknown to the platform and not listed',
		machine: undefined,
		verdict: 'not-found',
		at: 20_000,
		kind: 'not-found',
	},
	{
		name: 'unknown to the platform and listed again',
		machine: createMachine('a'),
		verdict: 'not-found',
		at: 2000,
		kind: undefined,
	},
];

for (const {name, machine, verdict, answeredAt = 0, at, kind} of returns) {
	tap.t.test(`a machine in maintenance: ${name}`, async (t) => {
		const wave = fleet.recordVerdict(begin(['a']), 'a', verdict, answeredAt);
		const machines = mapOf(machine ? [machine] : []);
		t.equal(
			fleet.observeMachines(wave, machines, at).begun.a?.progress.kind,
			kind,
		);
	});
}

for (const executorId of ['a-1', undefined]) {
	tap.t.test(
		`a machine that was in maintenance is ${executorId ? '' : 'not '}back with ${executorId ? 'its executor under the same id' : 'no executor yet'}`,
		async (t) => {
			let wave = fleet.recordVerdict(begin(['a']), 'a', 'accepted', 0);
			for (const [isUp, at, isBack] of [
				[true, 100, false],
				[false, 1000, false],
				[true, 2000, executorId !== undefined],
			] as const) {
				const machine = createMachine('a', {
					isUp,
					isInMaintenance: !isUp,
					executorId: isUp ? executorId : undefined,
				});
				wave = fleet.observeMachines(wave, mapOf([machine]), at);
				t.equal(!fleet.isAway(wave.begun.a!), isBack);
			}
		},
	);
}

for (const [at, kind] of [
	[0, undefined],
	[2999, undefined],
	[3000, 'not-in-wave'],
] as const) {
	tap.t.test(
		`a machine that is not in a wave which was read ${at} ms before`,
		async (t) => {
			const wave = fleet.recordVerdict(begin(['a']), 'a', 'not-in-wave', at);
			t.equal(wave.begun.a?.progress.kind, kind);
		},
	);
}

type RefusalCase = {
	readonly name: string;
	/** Answers to the commands for the machine, in order. */
	readonly verdicts: readonly fleet.CommandVerdict[];
	readonly away: number;
};

const refusalCases: readonly RefusalCase[] = [
	{
		name: 'a refused command makes the machine pending again',
		verdicts: ['refused'],
		away: 0,
	},
	{
		name: 'a refused repeat does not: the first may be carried out',
		verdicts: ['unknown', 'refused', 'refused'],
		away: 1,
	},
	{
		name: 'a refused repeat of an accepted command changes nothing',
		verdicts: ['accepted', 'refused'],
		away: 1,
	},
	{
		name: 'an accepted command stays accepted without an answer to a repeat',
		verdicts: ['accepted', 'unknown'],
		away: 1,
	},
];

for (const {name, verdicts, away} of refusalCases) {
	tap.t.test(`answers: ${name}`, async (t) => {
		let wave = fleet.createMachineWave(request, 0);
		for (const verdict of verdicts) {
			wave = fleet.recordCommand(wave, all.get('a')!, 0);
			wave = fleet.recordVerdict(wave, 'a', verdict, 0);
		}

		t.equal(fleet.countAway(wave), away);
		t.equal(step(wave).maxStarts, request.maxAway - away);
	});
}

tap.t.test(
	'a wave is completed once the platform has answered for every machine',
	async (t) => {
		let wave = begin(['a', 'b']);
		t.notOk(step(wave).isCompleted, 'c has not started');
		const without = mapOf([...all.values()].filter(({id}) => id !== 'c'));
		t.notOk(step(wave, without).isCompleted, 'a and b are away');
		for (const id of ['a', 'b']) {
			wave = fleet.recordVerdict(wave, id, 'not-in-wave', 3000);
		}

		t.notOk(step(wave, without).isCompleted, 'c may have been left out');
		t.notOk(step(wave).isCompleted);
		wave = fleet.recordCommand(wave, all.get('c')!, 0);
		wave = fleet.recordVerdict(wave, 'c', 'not-found', 0);
		t.ok(step(wave, without).isCompleted);
		t.notOk(step(wave).isCompleted, 'c is listed');
	},
);

tap.t.test(
	'a machine is pending again if its command was not sent',
	async (t) => {
		const before = fleet.createMachineWave(request, 0);
		const wave = fleet.withdrawCommand(begin(['a']), before, 'a');
		t.equal(step(wave).maxStarts, 1);
		t.equal(fleet.countAway(wave), 0);
	},
);

tap.t.test(
	'the least busy machine is evacuated first; one in progress stays ahead',
	async (t) => {
		const wave = fleet.createMachineWave(request, 0);
		const loads: Record<string, fleet.MachineLoad> = {
			a: {runs: 3, lasting: 0, usedCpu: 1},
			b: {runs: 1, lasting: 1, usedCpu: 1},
			c: {runs: 1, lasting: 0, usedCpu: 1},
		};
		const getLoad = ({id}: fleet.WaveMachine) => loads[id];
		const choose = (evacuating: readonly string[]) =>
			fleet.stepMachineWave(
				wave,
				{
					machines: all,
					evacuating: new Set(evacuating),
					getLoad,
					turnaroundMs,
				},
				0,
			).evacuate;
		t.same(choose([]), ['c']);
		t.same(choose(['a']), ['a']);
	},
);

for (const id of ['constructor', 'toString', '__proto__']) {
	tap.t.test(`a machine that is named ${id} is maintained`, async (t) => {
		const machine = createMachine(id);
		const machines = mapOf([machine]);
		let wave = fleet.createMachineWave({...request, machines: [id]}, 0);
		t.notOk(fleet.isWaveCompleted(wave, machines));
		t.same(step(wave, machines).evacuate, [id]);
		wave = fleet.recordCommand(wave, machine, 0);
		wave = fleet.recordVerdict(wave, id, 'accepted', 0);
		t.same(fleet.listAway(wave), [id]);
		const back = mapOf([createMachine(id, {executorId: 'another'})]);
		t.ok(fleet.isWaveCompleted(fleet.observeMachines(wave, back, 9000), back));
	});
}

tap.t.test('running tasks are not waited for once time is short', async (t) => {
	const wave = fleet.createMachineWave(request, 0);
	t.notOk(fleet.isShortOfTime(wave, all, 4000, 5000));
	t.ok(
		fleet.isShortOfTime(wave, all, 4000, 9000),
		'three turnarounds of 4 s in 11 s',
	);
});

type EvacuationCase = {
	readonly name: string;
	/** Machines with runs; the others are idle. */
	readonly busy: number;
	readonly away?: number;
	readonly evacuating?: number;
	readonly at: number;
	/** Expected number of evacuated machines. */
	readonly evacuated: readonly [busy: number, idle: number];
};

// 40 machines in 20 s, at most 16 away; each takes 4 s.
const evacuationCases: readonly EvacuationCase[] = [
	{
		name: 'as many busy machines as needed to end one turnaround early',
		busy: 40,
		at: 0,
		evacuated: [10, 0],
	},
	{
		name: 'machines away and those being evacuated count',
		busy: 36,
		away: 4,
		evacuating: 3,
		at: 0,
		evacuated: [6, 0],
	},
	{
		name: 'idle machines start at once, as many as may be away',
		busy: 20,
		at: 0,
		evacuated: [0, 16],
	},
	{
		name: 'idle machines stay while none may start',
		busy: 10,
		away: 16,
		at: 0,
		evacuated: [0, 0],
	},
	{
		name: 'more at once when time is short',
		busy: 40,
		at: 14_000,
		evacuated: [16, 0],
	},
];

for (const each of evacuationCases) {
	tap.t.test(`machines to evacuate: ${each.name}`, async (t) => {
		const ids = Array.from({length: 40}, (_, index) => `m${index}`);
		const machines = mapOf(ids.map((id) => createMachine(id)));
		const busy = new Set(ids.slice(40 - each.busy));
		const evacuating = new Set([...busy].slice(0, each.evacuating ?? 0));
		let wave = fleet.createMachineWave(
			{id: '1', machines: ids, durationMs: 20_000, maxAway: 16},
			0,
		);
		for (const id of ids.slice(0, each.away ?? 0)) {
			wave = fleet.recordCommand(wave, machines.get(id)!, 0);
		}

		const {evacuate} = fleet.stepMachineWave(
			wave,
			{
				machines,
				evacuating,
				getLoad: ({id}) =>
					busy.has(id) ? {runs: 1, lasting: 0, usedCpu: 1} : undefined,
				turnaroundMs,
			},
			each.at,
		);
		const busyCount = evacuate.filter((id) => busy.has(id)).length;
		t.same([busyCount, evacuate.length - busyCount], each.evacuated);
	});
}

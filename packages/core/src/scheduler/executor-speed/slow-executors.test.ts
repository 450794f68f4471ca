/**
 * Replays of load as plain numbers: executors that become slow must be known
 * within 2.5 s, and wrong declarations, long tasks or a slow service must not
 * make sound executors count as slow.
 */
import * as fc from 'fast-check';
import * as tap from 'tap';
import {decideSlowExecutors, decisionIntervalMs} from './slow-executors.js';
import {beginReadings, recordDoneRun, recordRunning} from './run-speed.js';
import {
	createExecutorSpeed,
	isSlow,
	type ExecutorSpeed,
} from './speed-state.js';

/** Linear congruential generator, so that each replay is the same. */
const createRandom = (seed: number) => {
	let state = seed;
	return () => {
		state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
		return (state + 0.5) / 4_294_967_296;
	};
};

/** A load as plain numbers; times in milliseconds. */
type Load = {
	readonly executors: number;
	/** Jobs that run at any time, each with one step of 8 tasks. */
	readonly jobs: number;
	readonly estimateMs: number;
	/** Standard deviation of ln(true / declared time) over jobs. */
	readonly sigma: number;
	/** Share of the tasks that take seven times as long as declared. */
	readonly longShare: number;
	/** Number of executors that are five times slower from 10 s to 18 s. */
	readonly slow: number;
	/** Executors on which the tasks of one step are placed. */
	readonly spread: number;
	readonly seed: number;
	readonly untilMs: number;
};

type ReplayRun = {
	readonly step: object;
	readonly trueMs: number;
	readonly startedAt: number;
	doneMs: number;
};

const tickMs = 125;
const slowFrom = 10_000;
const slowUntil = 18_000;

/** Replays a load; returns the decisions by which each executor counted as slow. */
const replay = (load: Load) => {
	const random = createRandom(load.seed);
	const drawNormal = () =>
		Math.sqrt(-2 * Math.log(random())) * Math.cos(2 * Math.PI * random());
	const speeds = new Map<string, ExecutorSpeed>();
	const runs = new Map<string, ReplayRun[]>();
	for (let index = 0; index < load.executors; index++) {
		speeds.set(`e${index}`, createExecutorSpeed());
		runs.set(`e${index}`, []);
	}

	const slowAt = new Map<string, number[]>([...speeds].map(([id]) => [id, []]));
	const startJob = (at: number) => {
		const step = {};
		const factor = Math.exp(load.sigma * drawNormal());
		const first = Math.floor(random() * load.executors);
		for (let task = 0; task < 8; task++) {
			const long = random() < load.longShare ? 7 : 1;
			const trueMs =
				load.estimateMs * factor * long * Math.exp(0.2 * drawNormal());
			const id = `e${(first + (task % load.spread)) % load.executors}`;
			runs.get(id)!.push({step, trueMs, startedAt: at, doneMs: 0});
		}
	};

	const advance = (id: string, number: number, at: number) => {
		const isSlowed = number < load.slow && at > slowFrom && at <= slowUntil;
		const speed = speeds.get(id)!;
		beginReadings(speed, at);
		const left: ReplayRun[] = [];
		for (const run of runs.get(id)!) {
			run.doneMs += isSlowed ? tickMs / 5 : tickMs;
			const reading = {
				key: run,
				step: run.step,
				expectedMs: load.estimateMs,
				percent: Math.min(99, Math.floor((100 * run.doneMs) / run.trueMs)),
				clockMs: at,
				startedClockMs: run.startedAt,
			};
			if (run.doneMs < run.trueMs) {
				left.push(run);
				recordRunning(speed, reading, at);
			} else {
				recordDoneRun(speed, reading, at);
			}
		}

		runs.set(id, left);
	};

	for (let at = tickMs; at <= load.untilMs; at += tickMs) {
		const count = [...runs.values()].reduce(
			(sum, each) => sum + each.length,
			0,
		);
		for (let missing = load.jobs * 8 - count; missing >= 8; missing -= 8) {
			startJob(at - tickMs);
		}

		for (const [number, id] of [...speeds.keys()].entries()) {
			advance(id, number, at);
		}

		if (at % decisionIntervalMs === 0) {
			const isIdle = (id: string) => runs.get(id)!.length === 0;
			decideSlowExecutors({speeds, usable: load.executors, isIdle}, at);
			for (const [id, speed] of speeds) {
				if (isSlow(speed)) {
					slowAt.get(id)!.push(at);
				}
			}
		}
	}

	return slowAt;
};

const steady: Load = {
	executors: 10,
	jobs: 40,
	estimateMs: 1000,
	sigma: 0.2,
	longShare: 0,
	slow: 0,
	spread: 2,
	seed: 1,
	untilMs: 30_000,
};

/** Earliest and latest time at which the slow executors must be known. */
const detectedBy = slowFrom + 2500;
const recoveredBy = slowUntil + 6000;

const countAll = (slowAt: ReadonlyMap<string, readonly number[]>): number =>
	[...slowAt.values()].reduce((sum, each) => sum + each.length, 0);

const slowCases: ReadonlyArray<Partial<Load> & {readonly name: string}> = [
	{name: 'steps on two executors'},
	{name: 'steps on one executor', spread: 1, seed: 3},
	{name: 'wrong declarations', sigma: 0.9},
	{name: 'wrong declarations, other jobs', sigma: 0.9, seed: 2},
	{name: 'some long tasks', longShare: 0.03},
];

for (const {name, ...changes} of slowCases) {
	tap.t.test(
		`a fifth of the executors five times slower for 8 s: ${name}`,
		async (t) => {
			const slowAt = replay({...steady, ...changes, slow: 2});
			for (const [number, [id, times]] of [...slowAt].entries()) {
				if (number >= 2) {
					t.same(times, [], `${id} is sound`);
					continue;
				}

				t.ok(times[0]! > slowFrom, `${id} was sound before`);
				t.ok(times[0]! <= detectedBy, `${id} is detected, at ${times[0]}`);
				t.ok(
					times.at(-1)! <= recoveredBy,
					`${id} is sound again, after ${times.at(-1)}`,
				);
			}
		},
	);
}

const soundCases: ReadonlyArray<
	Partial<Load> & {readonly name: string; readonly maxShare: number}
> = [
	{name: 'declarations that are right', maxShare: 0},
	{name: 'wrong declarations', sigma: 0.9, maxShare: 0.02},
	{
		name: 'wrong declarations, steps on one executor',
		sigma: 0.9,
		spread: 1,
		maxShare: 0.02,
	},
	{name: 'some long tasks', longShare: 0.03, maxShare: 0},
	{
		name: 'some long tasks, steps on one executor',
		longShare: 0.03,
		spread: 1,
		maxShare: 0,
	},
	{name: 'all slow at once', slow: 10, maxShare: 0},
	{
		name: 'all slow at once, steps on one executor',
		slow: 10,
		spread: 1,
		maxShare: 0,
	},
];

for (const {name, maxShare, ...changes} of soundCases) {
	tap.t.test(`a sound executor does not count as slow: ${name}`, async (t) => {
		const load = {...steady, untilMs: 60_000, ...changes};
		const decisions = load.executors * (load.untilMs / decisionIntervalMs);
		const share = countAll(replay(load)) / decisions;
		t.ok(share <= maxShare, `share of the time: ${share}`);
	});
}

tap.t.test('at most a quarter of the usable executors are slow', async () => {
	const readings = fc.array(
		fc.record({
			executor: fc.integer({min: 0, max: 11}),
			percent: fc.integer({min: 0, max: 100}),
			gapMs: fc.integer({min: 0, max: 400}),
		}),
		{minLength: 50, maxLength: 200},
	);
	const property = fc.property(
		readings,
		fc.integer({min: 0, max: 12}),
		(all, usable) => {
			const ids = Array.from({length: 12}, (_, index) => `e${index}`);
			const speeds = new Map(ids.map((id) => [id, createExecutorSpeed()]));
			const keys = Array.from({length: 40}, () => ({}));
			let now = 0;
			for (const [index, {executor, percent, gapMs}] of all.entries()) {
				now += gapMs;
				const speed = speeds.get(`e${executor}`)!;
				beginReadings(speed, now);
				const reading = {
					key: keys[index % 40]!,
					step: speed,
					expectedMs: 1000,
					percent,
					clockMs: now,
					startedClockMs: 0,
				};
				recordRunning(speed, reading, now);
				decideSlowExecutors({speeds, usable, isIdle: () => false}, now);
				const slow = [...speeds.values()].filter((each) => isSlow(each));
				if (slow.length > usable / 4) {
					return false;
				}
			}

			return true;
		},
	);
	fc.assert(property, {numRuns: 50});
});

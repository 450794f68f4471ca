import * as tap from 'tap';
import {createLedger, type CombinedTerms} from '../budget/index.js';
import type {Instance} from '../types/instance.js';
import {
	createInstance,
	createInstanceFacts,
	servicesByPool,
} from './step.test.fixture.js';
import * as waves from './index.js';

const minuteMs = 60_000;
const terms: CombinedTerms = {
	keepExecutors: 1,
	keepExecutorsFor: 'harrowby',
	maxAway: 2,
	maxAwayFor: 'isarwelle',
};

const createInstances = (racks: number): Instance[] =>
	Array.from({length: 2 * racks}, (_, index) =>
		createInstance(`w${index}`, `r${Math.floor(index / 2)}`),
	);

const createContext = (
	racks: number,
	maxAway: number,
	jobs: readonly waves.RunningJob[] = [],
	change: Partial<waves.Wave> = {},
): waves.WaveContext => {
	const instances = createInstances(racks);
	const wave: waves.Wave = {
		id: 'w',
		rows: 'w',
		author: 'op',
		state: 'planned',
		pools: ['quote'],
		settings: waves.waveDefaults,
		createdAt: 0,
		startedAt: undefined,
		endedAt: undefined,
		deadline: 24 * 60 * minuteMs,
		domains: racks,
		instances: instances.length,
		...change,
	};
	const facts: waves.WaveFacts = {
		instances: new Map(
			instances.map((instance) => [
				instance.id,
				createInstanceFacts(instance, {
					coresFree: 8 - jobs.reduce((sum, {cores}) => sum + cores, 0),
					jobs,
				}),
			]),
		),
		ledgers: new Map([
			[
				'quote',
				createLedger(
					'quote',
					{...terms, maxAway},
					instances.map(({id}) => id),
				),
			],
		]),
		servicesByPool,
		reserves: new Map(),
	};
	const rows = waves.createDomainRows('w', ['quote'], instances);
	const progress = waves.createProgress(
		wave,
		rows,
		() => 'quote',
		servicesByPool,
	);
	return {progress, facts, now: 0};
};

const runPreview = ({progress, facts, now}: waves.WaveContext) => {
	const preview = waves.createPreview(progress, facts, now);
	for (let step = 0; step < 5000; step += 1) {
		if (waves.stepPreview(preview, 16)) {
			break;
		}
	}

	return waves.getPreviewResult(preview);
};

const job: waves.RunningJob = {
	id: 'j',
	cores: 2,
	memoryMb: 1024,
	elapsedMs: 0,
	remainingMs: 600 * minuteMs,
	movability: 'checkpoint',
};

const table: Array<
	[string, waves.WaveContext, Partial<waves.PreviewResult>, minutes: number]
> = [
	['a rack at a time', createContext(3, 2), {moves: 0, skipped: []}, 45],
	['two racks at a time', createContext(4, 4), {moves: 0, skipped: []}, 30],
	[
		'jobs that move when there is no time to wait',
		createContext(2, 2, [job], {
			deadline: 120 * minuteMs,
			settings: {...waves.waveDefaults, deferWithinMs: 0},
		}),
		{moves: 4, held: 2, skipped: []},
		30,
	],
	[
		'jobs that may not move outlast the deadline',
		createContext(1, 2, [{...job, movability: 'none'}], {
			deadline: 120 * minuteMs,
		}),
		{moves: 0, skipped: ['w0', 'w1']},
		120,
	],
];

for (const [name, context, expected, minutes] of table) {
	tap.t.test(`preview: ${name}`, async (t) => {
		const result = runPreview(context);
		t.match(result, expected);
		t.equal(result.durationMs / minuteMs, minutes);
		t.match(result.holdUps[0], {pool: 'quote', customers: ['isarwelle']});
	});
}

const waitTable: Array<[string, waves.WaveContext, object[]]> = [
	['nothing is begun yet', createContext(1, 2), [{kind: 'put-off'}]],
	[
		'the budget has nothing left',
		createContext(1, 0),
		[{kind: 'budget', refusal: {kind: 'max-away', customer: 'isarwelle'}}],
	],
	['paused', createContext(1, 2, [], {state: 'paused'}), [{kind: 'paused'}]],
];

for (const [name, context, expected] of waitTable) {
	tap.t.test(`waits: ${name}`, async (t) => {
		const state =
			context.progress.wave.state === 'planned'
				? ('running' as const)
				: context.progress.wave.state;
		context.progress.wave = {...context.progress.wave, state, startedAt: 0};
		t.match(waves.listWaits(context, 10), expected);
	});
}

const phaseTable: Array<
	[string, waves.MemberPhase, Partial<waves.InstanceFacts>, object]
> = [
	[
		'a job',
		{kind: 'evacuating', since: 0},
		{jobs: [{...job, movability: 'none'}]},
		{kind: 'job', job: 'j', isMovable: false},
	],
	['a drain', takenAt(0), {state: 'draining'}, {kind: 'drain', sinceMs: 0}],
	['a restart', takenAt(0), {state: 'away'}, {kind: 'restart'}],
	[
		'proof',
		takenAt(0),
		{
			state: 'returning',
			evidence: {
				listed: 'live',
				incarnationBefore: 'x',
				incarnation: 'y',
				probesPassed: 1,
			},
		},
		{kind: 'proof'},
	],
	['one that is lost', {...takenAt(0), isLost: true}, {}, {kind: 'lost'}],
];

function takenAt(since: number) {
	return {
		kind: 'taken' as const,
		since,
		operationId: 'op',
		drainRevision: 1,
		incarnation: 'x',
		isLost: false,
	};
}

for (const [name, phase, change, expected] of phaseTable) {
	tap.t.test(`waits: ${name}`, async (t) => {
		const context = createContext(1, 2);
		const known = context.facts.instances;
		const instances = {
			get: (id: string) =>
				id === 'w0' ? {...known.get(id)!, ...change} : known.get(id),
		};
		waves.updatePhase(context.progress, ['w0'], phase);
		const facts = {...context.facts, instances};
		t.match(waves.listWaits({...context, facts}, 1), [expected]);
	});
}

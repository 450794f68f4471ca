/** Four instances in two racks of one pool, and a wave over them. */
import {
	createLedger,
	markLost,
	returnDefaults,
	type CombinedTerms,
	type Ledger,
} from '../budget/index.js';
import type {Instance} from '../types/instance.js';
import * as waves from './index.js';

export const hourMs = 3_600_000;
const terms: CombinedTerms = {
	keepExecutors: 1,
	keepExecutorsFor: 'harrowby',
	maxAway: 2,
	maxAwayFor: 'isarwelle',
};

const createWave = (change: Partial<waves.Wave> = {}): waves.Wave => ({
	id: 'w',
	rows: 'w',
	author: 'op',
	state: 'running',
	pools: ['quote'],
	settings: {...waves.waveDefaults, deferWithinMs: 0},
	createdAt: 0,
	startedAt: 0,
	endedAt: undefined,
	deadline: 24 * hourMs,
	domains: 2,
	instances: 4,
	...change,
});

export const createJob = (
	id: string,
	remainingHours: number,
	movability: waves.Movability = 'checkpoint',
): waves.RunningJob => ({
	id,
	cores: 4,
	memoryMb: 4096,
	elapsedMs: hourMs,
	remainingMs: remainingHours * hourMs,
	movability,
});

export const weights = {moves: 1, bufferCoreHours: 0.01, rollOutHours: 0.1};
/** A worker of the one pool. */
export const createInstance = (id: string, rack: string): Instance => ({
	id,
	kind: 'worker',
	address: '127.0.0.1:1',
	pool: 'quote',
	epoch: 1,
	state: 'serving',
	region: 'midlands',
	availabilityZone: 'az1',
	rack,
});

/** Facts of an instance of 8 cores that is up and idle. */
export const createInstanceFacts = (
	{id, pool, state}: Instance,
	changes: Partial<waves.InstanceFacts> = {},
): waves.InstanceFacts => ({
	id,
	pool,
	state,
	isDrained: false,
	evidence: {
		listed: 'live',
		incarnationBefore: 'x',
		incarnation: 'x',
		probesPassed: 0,
	},
	cores: 8,
	coresFree: 8,
	memoryMbFree: 65_536,
	jobs: [],
	...changes,
});

/** Four instances in two racks of one pool. */
const instances: Instance[] = ['a0', 'a1', 'b0', 'b1'].map((id) =>
	createInstance(id, id[0]!),
);

export const servicesByPool = new Map([['quote', ['quote']]]);

export const createFacts = (
	change: Record<string, Partial<waves.InstanceFacts>> = {},
	ledger: Partial<Ledger> = {},
): waves.WaveFacts => ({
	instances: new Map(
		instances.map((instance) => [
			instance.id,
			createInstanceFacts(instance, change[instance.id]),
		]),
	),
	ledgers: new Map([
		[
			'quote',
			{
				...createLedger(
					'quote',
					terms,
					instances.map(({id}) => id),
				),
				...ledger,
			},
		],
	]),
	servicesByPool,
	reserves: new Map(),
});

type Phases = Record<string, waves.MemberPhase>;
export const createContext = (
	phases: Phases = {},
	wave: Partial<waves.Wave> = {},
	facts = createFacts(),
	now = hourMs,
): waves.WaveContext => {
	const rows = waves.createDomainRows('w', ['quote'], instances);
	const progress = waves.createProgress(
		createWave(wave),
		rows,
		() => 'quote',
		servicesByPool,
	);
	for (const [id, phase] of Object.entries(phases)) {
		waves.updatePhase(progress, [id], phase);
	}

	return {progress, facts, now};
};

export const taken = {
	kind: 'taken' as const,
	since: 0,
	operationId: 'op',
	drainRevision: 3,
	incarnation: 'x',
	isLost: false,
} satisfies waves.MemberPhase;
export const evacuating = {kind: 'evacuating', since: hourMs} as const;
export const done = {kind: 'done', at: 0} as const;
export const returnedEvidence = {
	listed: 'live',
	incarnationBefore: 'x',
	incarnation: 'y',
	probesPassed: returnDefaults.probesNeeded,
} as const;
export const createLedgerWithLost = (ids: string[]) =>
	markLost({value: createFacts().ledgers.get('quote')!, version: 1}, ids, 0)!
		.value;

export const onlyWhole: Partial<waves.Wave> = {
	settings: {
		...waves.waveDefaults,
		deferWithinMs: 0,
		domains: 'only-whole',
	},
};

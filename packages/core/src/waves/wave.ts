/**
 * A maintenance wave: its state machine and its rows. One header row and one
 * row a rack hold all that another daemon needs to go on.
 */
import {match} from 'ts-pattern';
import {
	createRowInsert,
	createRowPut,
	tables,
	type RowPut,
	type Versioned,
} from '../budget/row-write.js';
import type {Instance} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';
import type {WaveSettings} from './settings.js';

/** Life of a wave. */
export const waveStates = [
	'planned',
	'running',
	'paused',
	'cancelled',
	'done',
] as const;

/** State of a wave. */
export type WaveState = (typeof waveStates)[number];

/** What an operator, or the end of the work, does to a wave. */
export type WaveCommand = 'start' | 'pause' | 'resume' | 'cancel' | 'finish';

/** The header row of a wave. Times are in milliseconds. */
export type Wave = {
	readonly id: string;
	/** Beginning of the keys of its racks' rows; unique to this wave. */
	readonly rows: string;
	readonly author: string;
	readonly state: WaveState;
	/** Pools whose instances are maintained. */
	readonly pools: readonly string[];
	readonly settings: WaveSettings;
	readonly createdAt: number;
	readonly startedAt: number | undefined;
	readonly endedAt: number | undefined;
	/** Jobs are waited for until then; what is left is skipped. */
	readonly deadline: number;
	/** Racks of the wave; as many rows exist. */
	readonly domains: number;
	readonly instances: number;
};

/** Why an instance was left out. */
export type SkipReason = 'deadline' | 'did-not-return' | 'left-pool';

/** How far one instance has come. The instance row tells the rest. */
export type MemberPhase =
	| {readonly kind: 'pending'}
	/** No new jobs; those it has run out or move. It still serves. */
	| {readonly kind: 'evacuating'; readonly since: number}
	/** Booked in the ledgers; draining, away or returning. */
	| {
			readonly kind: 'taken';
			readonly since: number;
			readonly operationId: string;
			/** Revision of the view that made it drain. */
			readonly drainRevision: number;
			/** Life that was listed at the take, to see the restart. */
			readonly incarnation: string;
			/** It did not come back in time: its ledgers hold it as lost. */
			readonly isLost: boolean;
	  }
	| {readonly kind: 'done'; readonly at: number}
	| {readonly kind: 'skipped'; readonly reason: SkipReason};

/** The row of one rack of a wave. */
export type WaveDomain = {
	/** `rows` of the wave. */
	readonly wave: string;
	/** Availability zone and rack. */
	readonly domain: string;
	readonly members: Readonly<Record<string, MemberPhase>>;
};

/** A command that the wave's state does not allow. */
export type WaveRefusal = {
	readonly kind: 'wrong-state';
	readonly state: WaveState;
	readonly command: WaveCommand;
};

const isAllowed = (state: WaveState, command: WaveCommand): boolean =>
	match(command)
		.with('start', () => state === 'planned')
		.with('pause', () => state === 'running')
		.with('resume', () => state === 'paused')
		.with('cancel', () => state !== 'cancelled' && state !== 'done')
		.with('finish', () => state === 'running')
		.exhaustive();

const nextStates = {
	start: 'running',
	pause: 'paused',
	resume: 'running',
	cancel: 'cancelled',
	finish: 'done',
} as const satisfies Record<WaveCommand, WaveState>;

/** Applies a command. Instances already away come back in every state. */
export const applyWaveCommand = (
	wave: Wave,
	command: WaveCommand,
	now: number,
): Result<Wave, WaveRefusal> => {
	if (!isAllowed(wave.state, command)) {
		return fail({kind: 'wrong-state', state: wave.state, command});
	}

	const hasEnded = command === 'finish' || command === 'cancel';
	return succeed({
		...wave,
		state: nextStates[command],
		startedAt: command === 'start' ? now : wave.startedAt,
		endedAt: hasEnded ? now : wave.endedAt,
	});
};

/** The failure domain of an instance: its availability zone and rack. */
export const getFailureDomain = ({availabilityZone, rack}: Instance): string =>
	`${availabilityZone}/${rack}`;

/** Groups the instances of a wave's pools into rows, one a rack. */
export const createDomainRows = (
	wave: string,
	pools: readonly string[],
	instances: Iterable<Instance>,
): readonly WaveDomain[] => {
	const wanted = new Set(pools);
	const byDomain = new Map<string, Record<string, MemberPhase>>();
	for (const instance of instances) {
		if (wanted.has(instance.pool)) {
			const domain = getFailureDomain(instance);
			const members = byDomain.get(domain) ?? {};
			members[instance.id] = {kind: 'pending'};
			byDomain.set(domain, members);
		}
	}

	return [...byDomain].map(([domain, members]) => ({wave, domain, members}));
};

/** The key of a rack's row. */
export const getDomainRowKey = (wave: string, domain: string): string =>
	`${wave}/${domain}`;

/** The write that creates a wave; its racks' rows are written before it. */
export const createWaveInsert = (wave: Wave): RowPut<Wave> =>
	createRowInsert(tables.waves, wave.id, wave);

/** The write of a changed header. */
export const createWavePut = (wave: Wave, version: number): RowPut<Wave> =>
	createRowPut(tables.waves, wave.id, wave, version);

/** The write that creates the row of a rack. */
export const createDomainInsert = (row: WaveDomain): RowPut<WaveDomain> =>
	createRowInsert(
		tables.waveDomains,
		getDomainRowKey(row.wave, row.domain),
		row,
	);

/** The write that moves instances of one rack to new phases. */
export const createPhasesPut = (
	{value, version}: Versioned<WaveDomain>,
	phases: Readonly<Record<string, MemberPhase>>,
): RowPut<WaveDomain> => {
	const row = {...value, members: {...value.members, ...phases}};
	const key = getDomainRowKey(value.wave, value.domain);
	return createRowPut(tables.waveDomains, key, row, version);
};

/**
 * A maintenance wave: its state machine and its rows. One header row and one
 * row per rack hold the complete state, so any daemon can continue a wave.
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

/** States of a wave. */
export const waveStates = [
	'planned',
	'running',
	'paused',
	'cancelled',
	'done',
] as const;

/** State of a wave. */
export type WaveState = (typeof waveStates)[number];

/** Commands to a wave, from an operator or on completion of its work. */
export type WaveCommand = 'start' | 'pause' | 'resume' | 'cancel' | 'finish';

/** The header row of a wave. Times are in milliseconds. */
export type Wave = {
	readonly id: string;
	/** Prefix of the keys of its racks' rows; unique to this wave. */
	readonly rows: string;
	readonly author: string;
	readonly state: WaveState;
	/** Pools whose instances are maintained. */
	readonly pools: readonly string[];
	readonly settings: WaveSettings;
	readonly createdAt: number;
	readonly startedAt: number | undefined;
	readonly endedAt: number | undefined;
	/**
	 * Time until which instances are evacuated; the remaining ones are skipped.
	 */
	readonly deadline: number;
	/** Number of racks, each with one row. */
	readonly domains: number;
	readonly instances: number;
};

/** Why an instance was skipped. */
export type SkipReason = 'deadline' | 'did-not-return' | 'left-pool';

/** Progress of one instance. Its instance row holds further details. */
export type MemberPhase =
	| {readonly kind: 'pending'}
	/** Accepts no new jobs; its running jobs finish or move. It still serves. */
	| {readonly kind: 'evacuating'; readonly since: number}
	/** Withdrawn in the ledgers; the instance is draining, away or returning. */
	| {
			readonly kind: 'taken';
			readonly since: number;
			readonly operationId: string;
			/** Revision of the view in which the instance is draining. */
			readonly drainRevision: number;
			/**
			 * Incarnation that was listed at the withdrawal, to detect the restart.
			 */
			readonly incarnation: string;
			/**
			 * Whether the instance did not return in time and its ledgers record it
			 * as lost.
			 */
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

/** Applies a command. Withdrawn instances still return in every state. */
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

/** Creates the rows of a wave: the instances of its pools grouped by rack. */
export const createDomainRows = (
	wave: string,
	pools: readonly string[],
	instances: Iterable<Instance>,
): readonly WaveDomain[] => {
	const included = new Set(pools);
	const byDomain = new Map<string, Record<string, MemberPhase>>();
	for (const instance of instances) {
		if (included.has(instance.pool)) {
			const domain = getFailureDomain(instance);
			const members = byDomain.get(domain) ?? {};
			members[instance.id] = {kind: 'pending'};
			byDomain.set(domain, members);
		}
	}

	return [...byDomain].map(([domain, members]) => ({wave, domain, members}));
};

/** Key of the row of a rack. */
export const getDomainRowKey = (wave: string, domain: string): string =>
	`${wave}/${domain}`;

/** Write that creates a wave. The rows of its racks must be committed first. */
export const createWaveInsert = (wave: Wave): RowPut<Wave> =>
	createRowInsert(tables.waves, wave.id, wave);

/** Write that updates the header row. */
export const createWavePut = (wave: Wave, version: number): RowPut<Wave> =>
	createRowPut(tables.waves, wave.id, wave, version);

/** Write that creates the row of a rack. */
export const createDomainInsert = (row: WaveDomain): RowPut<WaveDomain> =>
	createRowInsert(
		tables.waveDomains,
		getDomainRowKey(row.wave, row.domain),
		row,
	);

/** Write that updates the phases of instances of one rack. */
export const createPhasesPut = (
	{value, version}: Versioned<WaveDomain>,
	phases: Readonly<Record<string, MemberPhase>>,
): RowPut<WaveDomain> => {
	const row = {...value, members: {...value.members, ...phases}};
	const key = getDomainRowKey(value.wave, value.domain);
	return createRowPut(tables.waveDomains, key, row, version);
};

/**
 * Previews a wave before it starts: runs the steps of the real wave on a copy
 * in which restarts take their expected time, jobs end as estimated, and
 * nothing fails. Assumes that each worker is as busy when it is evacuated as it
 * is now.
 */
import {updateEntry, type Ledger} from '../budget/ledger.js';
import type {WaveAction} from './action.js';
import {getMinRounds} from './choose-domain.js';
import type {InstanceFacts, Lookup, WaveFacts} from './facts.js';
import {updatePhase, type Progress} from './progress.js';
import {stepWave} from './step.js';
import {applyWaveCommand} from './wave.js';

/** Instances that start their evacuation together. */
export type PreviewStep = {
	readonly domain: string;
	readonly instances: readonly string[];
	/** Time since the start of the wave, in milliseconds. */
	readonly afterMs: number;
};

/**
 * A pool that limits how fast the wave proceeds, and the customers whose
 * `maxAway` terms limit it.
 */
export type PoolBlocker = {
	readonly pool: string;
	readonly rounds: number;
	readonly customers: readonly string[];
};

/** Expected course of a wave. */
export type PreviewResult = {
	readonly order: readonly PreviewStep[];
	readonly durationMs: number;
	readonly moves: number;
	/** Moves for which no maintained worker has room; their jobs are held. */
	readonly held: number;
	/** Instances that the deadline would exclude. */
	readonly skipped: readonly string[];
	/** Pools that need the most rounds, in descending order. */
	readonly holdUps: readonly PoolBlocker[];
};

/** A preview in progress; only `stepPreview` changes it. */
export type Preview = {
	readonly progress: Progress;
	/** Instances that the preview has changed, by id. */
	readonly instances: Map<string, InstanceFacts>;
	readonly ledgers: Map<string, Ledger>;
	readonly facts: WaveFacts;
	readonly startedAt: number;
	readonly holdUps: readonly PoolBlocker[];
	readonly order: PreviewStep[];
	readonly skipped: string[];
	/** Time at which each withdrawn instance returns, by id. */
	readonly returnTimes: Map<string, number>;
	now: number;
	idleSteps: number;
	moves: number;
	held: number;
	isDone: boolean;
};

const maxPoolBlockers = 5;
/** Number of time steps per cycle. */
const ticksPerCycle = 3;

const listPoolBlockers = (
	progress: Progress,
	facts: WaveFacts,
): readonly PoolBlocker[] =>
	[...progress.remainingByPool.keys()]
		.map((pool) => ({
			pool,
			rounds: getMinRounds(progress, facts, pool),
			customers: (facts.servicesByPool.get(pool) ?? [])
				.map((service) => facts.ledgers.get(service)?.terms.maxAwayFor ?? '')
				.filter((customer) => customer !== ''),
		}))
		.toSorted((a, b) => b.rounds - a.rounds)
		.slice(0, maxPoolBlockers);

/** Looks up changed values first, then the base. */
const overlay = <Value>(
	changed: ReadonlyMap<string, Value>,
	base: Lookup<Value>,
): Lookup<Value> => ({get: (name) => changed.get(name) ?? base.get(name)});

/**
 * Creates a preview. It runs `progress` to its end, so the caller must not
 * share it.
 */
export const createPreview = (
	progress: Progress,
	facts: WaveFacts,
	now: number,
): Preview => {
	const started = applyWaveCommand(progress.wave, 'start', now);
	progress.wave = started.ok ? started.value : progress.wave;
	const instances = new Map<string, InstanceFacts>();
	const ledgers = new Map<string, Ledger>();
	return {
		progress,
		instances,
		ledgers,
		facts: {
			...facts,
			instances: overlay(instances, facts.instances),
			ledgers: overlay(ledgers, facts.ledgers),
		},
		startedAt: now,
		holdUps: listPoolBlockers(progress, facts),
		order: [],
		skipped: [],
		returnTimes: new Map(),
		now,
		idleSteps: 0,
		moves: 0,
		held: 0,
		isDone: false,
	};
};

const updateLedgers = (
	{ledgers, facts, now}: Preview,
	id: string,
	kind: 'away' | 'serving',
) => {
	const {pool} = facts.instances.get(id)!;
	for (const service of facts.servicesByPool.get(pool) ?? []) {
		const ledger = facts.ledgers.get(service)!;
		const entry =
			kind === 'serving'
				? {kind}
				: {kind, since: now, wave: '', operationId: ''};
		ledgers.set(service, updateEntry(ledger, id, entry));
	}
};

const updateInstance = (
	{instances, facts}: Preview,
	id: string,
	change: Partial<InstanceFacts>,
) => {
	instances.set(id, {...facts.instances.get(id)!, ...change});
};

const applyWithdrawal = (preview: Preview, ids: readonly string[]) => {
	const {progress, now} = preview;
	for (const id of ids) {
		updateLedgers(preview, id, 'away');
		preview.returnTimes.set(id, now + progress.wave.settings.cycleMs);
		updatePhase(progress, [id], {
			kind: 'taken',
			since: now,
			operationId: '',
			drainRevision: 0,
			incarnation: '',
			isLost: false,
		});
	}
};

const applyMove = (
	preview: Preview,
	{job, from, to}: Extract<WaveAction, {kind: 'move'}>,
) => {
	const {jobs} = preview.facts.instances.get(from)!;
	const remaining = jobs.filter(({id}) => id !== job.id);
	updateInstance(preview, from, {jobs: remaining});
	preview.moves += 1;
	if (to === undefined) {
		preview.held += 1;
		return;
	}

	const target = preview.facts.instances.get(to)!;
	const coresFree = target.coresFree - job.cores;
	const memoryMbFree = target.memoryMbFree - job.memoryMb;
	updateInstance(preview, to, {coresFree, memoryMbFree});
};

const applyAction = (preview: Preview, action: WaveAction) => {
	const {progress, now, startedAt} = preview;
	switch (action.kind) {
		case 'evacuate': {
			const {domain, instances} = action;
			preview.order.push({domain, instances, afterMs: now - startedAt});
			updatePhase(progress, instances, {kind: 'evacuating', since: now});
			break;
		}

		case 'take': {
			applyWithdrawal(preview, action.instances);
			break;
		}

		case 'move': {
			applyMove(preview, action);
			break;
		}

		case 'skip': {
			const {instances, reason} = action;
			preview.skipped.push(...instances);
			updatePhase(progress, instances, {kind: 'skipped', reason});
			break;
		}

		case 'release': {
			updatePhase(progress, action.instances, {kind: 'pending'});
			break;
		}

		case 'finish': {
			preview.isDone = true;
			break;
		}

		// `advanceTime` ends the cycle of a withdrawn instance.
		case 'stop':
		case 'return':
		case 'give-back':
		case 'give-up': {
			break;
		}
	}
};

/**
 * Advances the time by one tick: jobs on evacuating workers progress, and
 * cycles that are due end.
 */
const advanceTime = (preview: Preview) => {
	const {progress, facts, returnTimes} = preview;
	const tickMs = progress.wave.settings.cycleMs / ticksPerCycle;
	preview.now += tickMs;
	for (const domain of progress.activeDomains) {
		for (const {id, phase} of progress.domains.get(domain) ?? []) {
			if (phase.kind === 'evacuating') {
				const jobs = facts.instances
					.get(id)!
					.jobs.filter(({remainingMs}) => remainingMs > tickMs)
					.map((job) => ({...job, remainingMs: job.remainingMs - tickMs}));
				updateInstance(preview, id, {jobs});
			}
		}
	}

	for (const [id, at] of returnTimes) {
		if (at <= preview.now) {
			returnTimes.delete(id);
			updateLedgers(preview, id, 'serving');
			const {cores} = facts.instances.get(id)!;
			updateInstance(preview, id, {jobs: [], coresFree: cores});
			updatePhase(progress, [id], {kind: 'done', at: preview.now});
		}
	}
};

/** Advances by one step of bounded work; true once the preview is complete. */
export const stepPreview = (preview: Preview, maxWork: number): boolean => {
	const {progress, facts, now} = preview;
	if (preview.isDone) {
		return true;
	}

	const actions = stepWave({progress, facts, now}, maxWork);
	for (const action of actions) {
		applyAction(preview, action);
	}

	preview.idleSteps = actions.length > 0 ? 0 : preview.idleSteps + 1;
	const window = Math.min(maxWork, progress.wave.settings.window);
	const stepsPerRound =
		progress.activeDomains.size / maxWork +
		progress.pendingDomains.length / window;
	if (preview.idleSteps > stepsPerRound) {
		preview.idleSteps = 0;
		advanceTime(preview);
	}

	return preview.isDone;
};

/** The result so far; complete once `stepPreview` returns true. */
export const getPreviewResult = (preview: Preview): PreviewResult => ({
	order: preview.order,
	durationMs: preview.now - preview.startedAt,
	moves: preview.moves,
	held: preview.held,
	skipped: preview.skipped,
	holdUps: preview.holdUps,
});

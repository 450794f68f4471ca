/**
 * What a wave is expected to do, before it starts: the same steps as the real
 * one, run ahead on a copy in which restarts take their expected time, jobs
 * end when they are estimated to, and nothing fails. It assumes that a worker
 * is as busy when its turn comes as it is now.
 */
import {updateEntry, type Ledger} from '../budget/ledger.js';
import type {WaveAction} from './action.js';
import {getMinRounds} from './choose-domain.js';
import type {InstanceFacts, Lookup, WaveFacts} from './facts.js';
import {updatePhase, type Progress} from './progress.js';
import {stepWave} from './step.js';
import {applyWaveCommand} from './wave.js';

/** One step of the order. */
export type PreviewStep = {
	readonly domain: string;
	readonly instances: readonly string[];
	/** Time from the start, in milliseconds. */
	readonly afterMs: number;
};

/** A service that holds the wave up, and whose contract makes it so. */
export type PoolBlocker = {
	readonly pool: string;
	readonly rounds: number;
	readonly customers: readonly string[];
};

/** What is expected. */
export type PreviewResult = {
	readonly order: readonly PreviewStep[];
	readonly durationMs: number;
	readonly moves: number;
	/** Moves for which no worker that is done has room. */
	readonly held: number;
	/** Instances that the deadline would leave out. */
	readonly skipped: readonly string[];
	/** Pools that need the most rounds, most first. */
	readonly holdUps: readonly PoolBlocker[];
};

/** A preview under way; only `stepPreview` changes it. */
export type Preview = {
	readonly progress: Progress;
	/** What the preview has changed. */
	readonly instances: Map<string, InstanceFacts>;
	readonly ledgers: Map<string, Ledger>;
	readonly facts: WaveFacts;
	readonly startedAt: number;
	readonly holdUps: readonly PoolBlocker[];
	readonly order: PreviewStep[];
	readonly skipped: string[];
	/** When instances that are away are done. */
	readonly returnTimes: Map<string, number>;
	now: number;
	idleSteps: number;
	moves: number;
	held: number;
	isDone: boolean;
};

const holdUpsShown = 5;
/** Parts of a cycle by which the time is moved on. */
const ticksPerCycle = 3;

const getHoldUps = (
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
		.slice(0, holdUpsShown);

/** Looks up what the preview has changed first, then what is so in fact. */
const overlay = <Value>(
	changed: ReadonlyMap<string, Value>,
	base: Lookup<Value>,
): Lookup<Value> => ({get: (name) => changed.get(name) ?? base.get(name)});

/** Begins a preview. The index must be its own: it is run to its end. */
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
		holdUps: getHoldUps(progress, facts),
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

const bookAll = (
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

const applyTake = (preview: Preview, ids: readonly string[]) => {
	const {progress, now} = preview;
	for (const id of ids) {
		bookAll(preview, id, 'away');
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
	const left = jobs.filter(({id}) => id !== job.id);
	updateInstance(preview, from, {jobs: left});
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
			applyTake(preview, action.instances);
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

		// An instance that is away ends its cycle by the clock alone.
		case 'stop':
		case 'return':
		case 'give-back':
		case 'give-up': {
			break;
		}
	}
};

/** Lets a tick pass: jobs on workers that are emptied run, cycles end. */
const passTime = (preview: Preview) => {
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
			bookAll(preview, id, 'serving');
			const {cores} = facts.instances.get(id)!;
			updateInstance(preview, id, {jobs: [], coresFree: cores});
			updatePhase(progress, [id], {kind: 'done', at: preview.now});
		}
	}
};

/** Goes on by one step of bounded work; true once the end is reached. */
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
	const round =
		progress.activeDomains.size / maxWork +
		progress.pendingDomains.length / window;
	if (preview.idleSteps > round) {
		preview.idleSteps = 0;
		passTime(preview);
	}

	return preview.isDone;
};

/** What the preview has found so far; whole once it is done. */
export const getPreviewResult = (preview: Preview): PreviewResult => ({
	order: preview.order,
	durationMs: preview.now - preview.startedAt,
	moves: preview.moves,
	held: preview.held,
	skipped: preview.skipped,
	holdUps: preview.holdUps,
});

/**
 * Runs waves on one entry: loads their rows, lets the core decide the next
 * actions, and carries them out. All state is stored in rows, so that another
 * entry can continue a wave. Source: docs/design/waves.md.
 */
import {setImmediate} from 'node:timers/promises';
import {
	waves,
	type followedView,
	type pendingAcknowledgements,
	type move,
	type viewChange,
} from '@gullstand/core';
import type {
	client,
	InstanceList,
	TableService,
	Workers,
	Write,
} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';
import {readDrainCheck, type DrainCheck} from './drain-check.js';
import {createLedgerCache, type ListedInstances} from './ledger-cache.js';
import {createProbe, createProbes, type Probe} from './probe.js';
import {runAction} from './wave-actions.js';
import type {ActionDeps} from './wave-commit.js';
import {createFacts, noJobs, type WaveJobs} from './wave-facts.js';
import {loadWave, readWaves, type LoadedWave} from './wave-rows.js';

/** Dependencies of the runner. */
export type WaveRunnerDeps = {
	readonly table: TableService;
	readonly list: InstanceList;
	readonly workers: Workers;
	readonly getFollowed: () => followedView.FollowedView;
	readonly onCommitted: (delta: viewChange.ViewDelta) => Promise<void>;
	/** Polls the view immediately. */
	readonly poll: () => Promise<void>;
	/** Counts requests in flight from this entry to an instance. */
	readonly getInFlight: (instance: string) => number;
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	/** Absent if no entry of the fleet starts from the snapshot. */
	readonly readOutageStart?: () => Promise<move.OutageStart>;
	/** Wall clock in milliseconds, as stored in rows. */
	readonly now: () => number;
	readonly logger: Logger;
	readonly pollMs: number;
	readonly jobs?: WaveJobs;
	readonly probe?: Probe;
	readonly env?: client.Environment;
	/** False while another entry holds the shard of waves. */
	readonly isHolder?: () => boolean;
	/** Conditions on the shard's lease, part of each commit. */
	readonly getGuards?: () => readonly Write[];
};

/** Runs waves and gives placement advice. */
export type WaveRunner = Part & {
	/** Runs one round over all waves; called periodically. */
	readonly step: () => Promise<void>;
	/** Returns advice for the placement of a job. */
	readonly getPlacementAdvice: (
		instance: string,
		hasMoved: boolean,
	) => waves.PlacementAdvice;
};

/** Racks processed by one step. */
const maxRacksPerStep = 24;
/** Steps of one wave in one round; each yields to the event loop. */
const maxStepsPerRound = 200;
/** Time between polls for waves while there is none. */
const idlePollMs = 1000;
/** Time after which a restart without effect is requested again. */
const rebootRetryMs = 60_000;

type State = {
	readonly deps: WaveRunnerDeps;
	readonly actionDeps: ActionDeps;
	readonly probes: ReturnType<typeof createProbes>;
	readonly loaded: Map<string, LoadedWave>;
	/** Cancelled waves whose instances have all returned. */
	readonly completed: Set<string>;
	readonly rebootAskedAt: Map<string, number>;
	/** Rounds are skipped until this time, as there was no wave. */
	idleUntil: number;
};

const isRunnable = ({progress}: LoadedWave): boolean =>
	progress.wave.state === 'running' || progress.activeDomains.size > 0;

/** Reads new waves, and the rows of those whose header has changed. */
const refreshWaves = async (state: State): Promise<boolean> => {
	const {deps, loaded, completed} = state;
	const headers = await readWaves(deps.table);
	if (!headers.ok) {
		return false;
	}

	for (const header of headers.value) {
		const {id, state: waveState} = header.value;
		const known = loaded.get(id);
		const isInactive =
			waveState === 'planned' || waveState === 'done' || completed.has(id);
		if (isInactive) {
			loaded.delete(id);
		} else if (known?.header.version !== header.version) {
			const read = await loadWave(deps.table, header, deps.getFollowed().view);
			if (!read.ok) {
				return false;
			}

			loaded.set(id, read.value);
		}
	}

	return true;
};

const readListed = async ({
	list,
}: WaveRunnerDeps): Promise<ListedInstances | undefined> => {
	const listed = await list.list();
	return listed.ok
		? new Map(listed.value.map((each) => [each.id, each]))
		: undefined;
};

const getTakenMembers = (loaded: LoadedWave): readonly waves.Member[] =>
	[...loaded.progress.activeDomains].flatMap((domain) =>
		(loaded.progress.domains.get(domain) ?? []).filter(
			({phase}) => phase.kind === 'taken',
		),
	);

/** Requests a restart again if its call or reply was lost. */
const retryReboots = async (
	{deps, rebootAskedAt}: State,
	loaded: LoadedWave,
	listed: ListedInstances,
) => {
	const {view} = deps.getFollowed();
	for (const {id, phase} of getTakenMembers(loaded)) {
		const listing = listed.get(id);
		if (phase.kind !== 'taken') {
			continue;
		}

		const isUnchanged =
			view.instances.get(id)?.state === 'away' &&
			listing?.state === 'live' &&
			listing.incarnation === phase.incarnation;
		if (!isUnchanged) {
			rebootAskedAt.delete(id);
			continue;
		}

		const askedAt = rebootAskedAt.get(id);
		const now = deps.now();
		if (askedAt === undefined) {
			rebootAskedAt.set(id, now);
		} else if (now - askedAt >= rebootRetryMs) {
			rebootAskedAt.set(id, now);
			await deps.workers.reboot(id, phase.incarnation);
		}
	}
};

const runProbes = async ({deps, probes, loaded}: State) => {
	const {view} = deps.getFollowed();
	const returning = [...loaded.values()]
		.flatMap((each) => getTakenMembers(each))
		.map(({id}) => view.instances.get(id))
		.filter((each) => each?.state === 'returning')
		.filter((each) => each !== undefined);
	await probes.run(returning);
};

/** True if an instance drains; entries are read only then. */
const isDraining = ({deps, loaded}: State): boolean => {
	const {view} = deps.getFollowed();
	return [...loaded.values()]
		.flatMap((each) => getTakenMembers(each))
		.some(({id}) => view.instances.get(id)?.state === 'draining');
};

/** Inputs read once per round. */
type Round = {
	readonly listed: ListedInstances;
	readonly drain: DrainCheck | undefined;
};

/** Runs one step of one wave; `stale` if its rows must be reloaded. */
const stepLoaded = async (
	state: State,
	loaded: LoadedWave,
	{listed, drain}: Round,
): Promise<'again' | 'idle' | 'stale'> => {
	const {deps, actionDeps, probes} = state;
	const {progress} = loaded;
	const facts = createFacts(progress, {
		view: deps.getFollowed().view,
		listed,
		ledgers: actionDeps.ledgerCache.values,
		jobs: actionDeps.jobs,
		observations: {
			getProbesPassed: probes.getPassed,
			isDrained(id) {
				const phase = progress.members.get(id)?.phase;
				return (
					phase?.kind === 'taken' &&
					drain?.isDrained(id, phase.drainRevision) === true
				);
			},
		},
	});
	const actions = waves.stepWave(
		{progress, facts, now: deps.now()},
		maxRacksPerStep,
	);
	for (const action of actions) {
		const drainGuards = drain?.guards ?? [];
		const context = {loaded, facts, listed, drainGuards};
		if (!(await runAction(actionDeps, context, action))) {
			deps.logger.info('wave action not carried out', {
				wave: progress.wave.id,
				action: action.kind,
			});
			return 'stale';
		}
	}

	return actions.length > 0 ? 'again' : 'idle';
};

const stepWave = async (state: State, loaded: LoadedWave, round: Round) => {
	const {id} = loaded.progress.wave;
	for (
		let steps = 0;
		steps < maxStepsPerRound && isRunnable(loaded);
		steps += 1
	) {
		const result = await stepLoaded(state, loaded, round);
		if (result === 'stale') {
			state.loaded.delete(id);
			state.actionDeps.ledgerCache.invalidate();
			return;
		}

		const hasVisitedAllRacks =
			(steps + 1) * maxRacksPerStep >= loaded.progress.activeDomains.size;
		if (result === 'idle' && hasVisitedAllRacks) {
			return;
		}

		await setImmediate();
	}

	if (loaded.progress.wave.state === 'cancelled' && !isRunnable(loaded)) {
		state.completed.add(id);
		state.loaded.delete(id);
	}
};

/** Runs one round; withdraws nothing while store or list are unavailable. */
const runRound = async (state: State): Promise<void> => {
	const {deps, actionDeps} = state;
	if (!(deps.isHolder?.() ?? true)) {
		state.loaded.clear();
		actionDeps.ledgerCache.invalidate();
		return;
	}

	const now = deps.now();
	if (state.loaded.size === 0 && now < state.idleUntil) {
		return;
	}

	state.idleUntil = now + idlePollMs;
	const hasWaves = (await refreshWaves(state)) && state.loaded.size > 0;
	if (!hasWaves) {
		return;
	}

	await deps.poll();
	const listed = await readListed(deps);
	const {view} = deps.getFollowed();
	if (
		!listed ||
		!(await actionDeps.ledgerCache.synchronize(view, listed, deps.now()))
	) {
		return;
	}

	await runProbes(state);
	const drain = isDraining(state)
		? await readDrainCheck({...deps, getView: () => deps.getFollowed().view})
		: undefined;
	for (const loaded of state.loaded.values()) {
		await retryReboots(state, loaded, listed);
		await stepWave(state, loaded, {listed, drain});
	}
};

export const createWaveRunner = (deps: WaveRunnerDeps): WaveRunner => {
	const {table, workers, getFollowed, onCommitted, now, env} = deps;
	const state: State = {
		deps,
		actionDeps: {
			table,
			workers,
			jobs: deps.jobs ?? noJobs,
			ledgerCache: createLedgerCache(table),
			getFollowed,
			onCommitted,
			getGuards: deps.getGuards ?? (() => []),
			now,
			...(env && {env}),
		},
		probes: createProbes(deps.probe ?? createProbe(workers)),
		loaded: new Map(),
		completed: new Set(),
		rebootAskedAt: new Map(),
		idleUntil: 0,
	};
	const step = async () => runRound(state);
	const ticker = createTicker(step, deps.pollMs, Math.random);
	return {
		name: 'wave-runner',
		step,
		start: ticker.start,
		stop: ticker.stop,
		getPlacementAdvice(instance, hasMoved) {
			const advice = new Set(
				[...state.loaded.values()].map(({progress}) =>
					waves.getPlacementAdvice(progress, instance, hasMoved),
				),
			);
			if (advice.has('never')) {
				return 'never';
			}

			return advice.has('later') ? 'later' : 'good';
		},
	};
};

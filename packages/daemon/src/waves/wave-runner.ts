/**
 * Runs waves on one entry: loads their rows, asks the core what comes next,
 * and carries it out. Everything it knows is read from rows, so another entry
 * goes on where this one ended. Source: docs/design/waves.md.
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

/** What the runner needs. */
export type WaveRunnerDeps = {
	readonly table: TableService;
	readonly list: InstanceList;
	readonly workers: Workers;
	readonly getFollowed: () => followedView.FollowedView;
	readonly onCommitted: (delta: viewChange.ViewDelta) => Promise<void>;
	/** Polls the view at once. */
	readonly poll: () => Promise<void>;
	/** Requests in flight from this entry to an instance. */
	readonly getInFlight: (instance: string) => number;
	readonly getHeard: () => pendingAcknowledgements.ReceivedAcknowledgements;
	/** Absent: no entry of the fleet starts from the snapshot. */
	readonly readOutageStart?: () => Promise<move.OutageStart>;
	/** Present time in milliseconds of the wall clock, as rows keep it. */
	readonly now: () => number;
	readonly logger: Logger;
	readonly pollMs: number;
	readonly jobs?: WaveJobs;
	readonly probe?: Probe;
	readonly env?: client.Environment;
	/** False while another entry holds the shard of waves. */
	readonly isHolder?: () => boolean;
	/** Checks of the shard's lease, part of each commit. */
	readonly getGuards?: () => readonly Write[];
};

/** The runner, with what others may ask of it. */
export type WaveRunner = Part & {
	/** One round over all waves; the part calls it again and again. */
	readonly step: () => Promise<void>;
	/** Advice for the placement of a job. */
	readonly getPlacementAdvice: (
		instance: string,
		hasMoved: boolean,
	) => waves.PlacementAdvice;
};

/** Racks that one step looks at. */
const maxWork = 24;
/** Steps of one wave in one round; each lets the event loop go on. */
const maxSteps = 200;
/** Time between looks for a wave while there is none. */
const idlePollMs = 1000;
/** Time after which a restart that shows nothing is asked for again. */
const rebootRetryMs = 60_000;

type State = {
	readonly deps: WaveRunnerDeps;
	readonly command: ActionDeps;
	readonly probes: ReturnType<typeof createProbes>;
	readonly loaded: Map<string, LoadedWave>;
	/** Cancelled waves with nothing away any more. */
	readonly settled: Set<string>;
	readonly rebootAskedAt: Map<string, number>;
	/** Until then a round looks at nothing, as there was no wave. */
	idleUntil: number;
};

const isRunnable = ({progress}: LoadedWave): boolean =>
	progress.wave.state === 'running' || progress.activeDomains.size > 0;

/** Reads new waves, and the rows of those whose header has changed. */
const refreshWaves = async (state: State): Promise<boolean> => {
	const {deps, loaded, settled} = state;
	const headers = await readWaves(deps.table);
	if (!headers.ok) {
		return false;
	}

	for (const header of headers.value) {
		const {id, state: waveState} = header.value;
		const known = loaded.get(id);
		const isOver =
			waveState === 'planned' || waveState === 'done' || settled.has(id);
		if (isOver) {
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

/** Asks again for a restart whose call or reply was lost. */
const retryReboots = async (
	{deps, rebootAskedAt}: State,
	loaded: LoadedWave,
	listed: ListedInstances,
) => {
	const {view} = deps.getFollowed();
	for (const {id, phase} of getTakenMembers(loaded)) {
		const seen = listed.get(id);
		if (phase.kind !== 'taken') {
			continue;
		}

		const isUnchanged =
			view.instances.get(id)?.state === 'away' &&
			seen?.state === 'live' &&
			seen.incarnation === phase.incarnation;
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

/** The entries are read only while something drains. */
const isDraining = ({deps, loaded}: State): boolean => {
	const {view} = deps.getFollowed();
	return [...loaded.values()]
		.flatMap((each) => getTakenMembers(each))
		.some(({id}) => view.instances.get(id)?.state === 'draining');
};

/** What one round has read. */
type Round = {
	readonly listed: ListedInstances;
	readonly drain: DrainCheck | undefined;
};

/** One step of one wave; false if nothing is left to do now. */
const stepLoaded = async (
	state: State,
	loaded: LoadedWave,
	{listed, drain}: Round,
): Promise<'again' | 'idle' | 'stale'> => {
	const {deps, command, probes} = state;
	const {progress} = loaded;
	const facts = createFacts(progress, {
		view: deps.getFollowed().view,
		listed,
		ledgers: command.ledgerCache.values,
		jobs: command.jobs,
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
	const actions = waves.stepWave({progress, facts, now: deps.now()}, maxWork);
	for (const action of actions) {
		const drainGuards = drain?.guards ?? [];
		const context = {loaded, facts, listed, drainGuards};
		if (!(await runAction(command, context, action))) {
			deps.logger.info('wave action not done', {
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
	for (let steps = 0; steps < maxSteps && isRunnable(loaded); steps += 1) {
		const result = await stepLoaded(state, loaded, round);
		if (result === 'stale') {
			state.loaded.delete(id);
			state.command.ledgerCache.invalidate();
			return;
		}

		const isVisited =
			(steps + 1) * maxWork >= loaded.progress.activeDomains.size;
		if (result === 'idle' && isVisited) {
			return;
		}

		await setImmediate();
	}

	if (loaded.progress.wave.state === 'cancelled' && !isRunnable(loaded)) {
		state.settled.add(id);
		state.loaded.delete(id);
	}
};

/** One round: nothing is taken while store or list do not answer. */
const runRound = async (state: State): Promise<void> => {
	const {deps, command} = state;
	if (!(deps.isHolder?.() ?? true)) {
		state.loaded.clear();
		command.ledgerCache.invalidate();
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
		!(await command.ledgerCache.synchronize(view, listed, deps.now()))
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

/** Creates the runner. */
export const createWaveRunner = (deps: WaveRunnerDeps): WaveRunner => {
	const {table, workers, getFollowed, onCommitted, now, env} = deps;
	const state: State = {
		deps,
		command: {
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
		settled: new Set(),
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

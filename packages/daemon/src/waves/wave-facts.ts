/** Builds the facts for a wave from the view, the list and the jobs. */
import {
	viewIndex,
	budget,
	type Instance,
	type View,
	type waves,
} from '@gullstand/core';
import {getServicesByPool, type ListedInstances} from './ledger-cache.js';

/** Resources of one worker and the jobs on it. */
export type WorkerLoad = {
	readonly cores: number;
	readonly coresFree: number;
	readonly memoryMbFree: number;
	readonly jobs: readonly waves.RunningJob[];
};

/** The job operations that a wave needs. */
export type WaveJobs = {
	/** Load by the last report; an unresponsive worker keeps its jobs. */
	readonly getLoad: (worker: string) => WorkerLoad;
	/** Checkpoints the job and starts it on `to`, or holds it without one. */
	readonly move: (
		job: waves.RunningJob,
		from: string,
		to: string | undefined,
	) => Promise<boolean>;
};

const noLoad: WorkerLoad = {
	cores: 0,
	coresFree: 0,
	memoryMbFree: 0,
	jobs: [],
};

/** For fleets that run no jobs. */
export const noJobs: WaveJobs = {
	getLoad: () => noLoad,
	move: async () => false,
};

/** State of instances that the runner observes. */
export type Observations = {
	readonly isDrained: (instance: string) => boolean;
	readonly getProbesPassed: (instance: string) => number;
};

const getEvidence = (
	{id}: Instance,
	phase: waves.MemberPhase | undefined,
	listed: ListedInstances,
	{getProbesPassed}: Observations,
): budget.ReturnEvidence => {
	const listing = listed.get(id);
	return {
		listed: listing?.state ?? 'absent',
		incarnationBefore: phase?.kind === 'taken' ? phase.incarnation : '',
		incarnation: listing?.incarnation ?? '',
		probesPassed: getProbesPassed(id),
	};
};

/** Returns the number of executors in reserve for each service. */
const getReserves = (
	view: View,
	kind: budget.ReserveKind,
): ReadonlyMap<string, number> => {
	const reserves = new Map<string, number>();
	if (kind === 'none') {
		return reserves;
	}

	const byPool = viewIndex.groupByPool(view.instances.values());
	for (const {name, pool} of view.services.values()) {
		const members = byPool.get(pool) ?? [];
		reserves.set(name, budget.getReserve(members, kind));
	}

	return reserves;
};

/** Inputs of `createFacts`. */
export type FactSources = {
	readonly view: View;
	readonly listed: ListedInstances;
	readonly ledgers: waves.Lookup<budget.Ledger>;
	readonly jobs: WaveJobs;
	readonly observations: Observations;
};

/** Creates the facts for one wave; instances are looked up on demand. */
export const createFacts = (
	progress: waves.Progress,
	{view, listed, ledgers, jobs, observations}: FactSources,
): waves.WaveFacts => ({
	instances: {
		get(id) {
			const instance = view.instances.get(id);
			if (instance === undefined) {
				return undefined;
			}

			const {pool, state} = instance;
			const phase = progress.members.get(id)?.phase;
			return {
				id,
				pool,
				state,
				isDrained: observations.isDrained(id),
				evidence: getEvidence(instance, phase, listed, observations),
				...jobs.getLoad(id),
			};
		},
	},
	ledgers,
	servicesByPool: getServicesByPool(view),
	reserves: getReserves(view, progress.wave.settings.reserve),
});

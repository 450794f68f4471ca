/** Finds blockers of a wave and computes its preview. */
import {setImmediate} from 'node:timers/promises';
import {waves, type View} from '@gullstand/core';
import {
	createViewLedgers,
	getServicesByPool,
	type ListedInstances,
} from '../../waves/ledger-cache.js';
import {createFacts, noJobs, type WaveJobs} from '../../waves/wave-facts.js';

/** State of the fleet that a wave is planned on. */
export type PlanSources = {
	readonly view: View;
	readonly listed: ListedInstances;
	readonly jobs?: WaveJobs;
	/** Present time in milliseconds of the wall clock. */
	readonly now: number;
};

/** Domains that one step examines. */
const maxWork = 24;
/** Steps between two yields to the event loop. */
const stepsPerTurn = 4;
/** Steps after which a preview stops. */
const maxSteps = 500_000;

const createPlanFacts = (
	progress: waves.Progress,
	{view, listed, jobs, now}: PlanSources,
): waves.WaveFacts =>
	createFacts(progress, {
		view,
		listed,
		ledgers: createViewLedgers(view, listed, now),
		jobs: jobs ?? noJobs,
		observations: {isDrained: () => false, getProbesPassed: () => 0},
	});

const createPlanProgress = (
	wave: waves.Wave,
	rows: readonly waves.WaveDomain[],
	view: View,
): waves.Progress =>
	waves.createProgress(
		wave,
		rows,
		(id) => view.instances.get(id)?.pool ?? '',
		getServicesByPool(view),
	);

/** Lists the blockers of a wave; it may start if there are none. */
export const findWaveBlockers = (
	wave: waves.Wave,
	rows: readonly waves.WaveDomain[],
	sources: PlanSources,
): readonly waves.Blocker[] => {
	const {view, now} = sources;
	const progress = createPlanProgress(wave, rows, view);
	const {pools, settings, deadline} = wave;
	return waves.findBlockers(
		{
			pools,
			settings,
			untilDeadlineMs: deadline - now,
			sizes: progress.remainingByPool,
		},
		createPlanFacts(progress, sources),
	);
};

/** Simulates the wave, yielding to the event loop between steps. */
export const previewWave = async (
	wave: waves.Wave,
	rows: readonly waves.WaveDomain[],
	sources: PlanSources,
): Promise<waves.PreviewResult> => {
	const progress = createPlanProgress(wave, rows, sources.view);
	const facts = createPlanFacts(progress, sources);
	const preview = waves.createPreview(progress, facts, sources.now);
	for (let step = 0; step < maxSteps; step += 1) {
		if (waves.stepPreview(preview, maxWork)) {
			break;
		}

		if (step % stepsPerTurn === 0) {
			await setImmediate();
		}
	}

	return waves.getPreviewResult(preview);
};

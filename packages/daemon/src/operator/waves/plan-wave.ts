/** Plans a wave: refuses what cannot be done, previews what can. */
import {setImmediate} from 'node:timers/promises';
import {waves, type View} from '@gullstand/core';
import {
	createViewLedgers,
	getServicesByPool,
	type ListedInstances,
} from '../../waves/ledger-cache.js';
import {createFacts, noJobs, type WaveJobs} from '../../waves/wave-facts.js';

/** What a plan is judged by. */
export type PlanSources = {
	readonly view: View;
	readonly listed: ListedInstances;
	readonly jobs?: WaveJobs;
	/** Present time in milliseconds of the wall clock. */
	readonly now: number;
};

/** Racks that one step looks at. */
const maxWork = 24;
/** Steps after which the event loop goes on. */
const stepsPerTurn = 4;
/** Steps after which a preview is given up. */
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

/** What stands in the way of a wave; none if it may start. */
export const findWaveObstacles = (
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

/** Runs the wave ahead, in slices that leave the event loop free. */
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

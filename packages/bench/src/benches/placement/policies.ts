/** Ways to place jobs: ours and its baselines. */
import * as core from '@gullstand/core';
import type {Resources} from '@gullstand/core';
import type {TraceJob} from './trace.js';

/** What a way reserves for a job and where it places it. */
export type Policy = {
	readonly name: string;
	readonly estimate: (
		job: TraceJob,
		history: core.placement.UsageHistory | undefined,
		habit: core.placement.CustomerUsageModel | undefined,
	) => core.placement.UsageEstimate;
	readonly cfg: core.placement.PlacementConfig;
	/** First worker with room, in the order of their names. */
	readonly firstFit: boolean;
	readonly relocation: core.placement.RelocationConfig | undefined;
};

const certain = (mean: Resources): core.placement.UsageEstimate => ({
	mean,
	deviation: core.placement.noResources,
});

const base = core.placement.defaultPlacementConfig;

/** Use with a margin, as learned; hysteresis on moves. */
export const learned: Policy = {
	name: 'learned',
	estimate: (job, history, habit) =>
		core.placement.estimateUsage(job, history, habit),
	cfg: base,
	firstFit: false,
	relocation: core.placement.defaultRelocationConfig,
};

/** The same with moves as soon as a worker is over or nearly empty. */
export const withoutHysteresis: Policy = {
	...learned,
	name: 'without hysteresis',
	relocation: {
		...core.placement.defaultRelocationConfig,
		overloadedShare: 1,
		settleMs: 0,
		stayMs: 0,
	},
};

/** What an operator does without gullstand. */
export const firstFitDeclared: Policy = {
	...learned,
	name: 'first fit, declared',
	estimate: (job) => certain(job.declared),
	firstFit: true,
	relocation: undefined,
};

/** The lower bound: nobody knows true sizes in advance. */
export const bestFitKnown: Policy = {
	...learned,
	name: 'best fit, known',
	estimate: (job) => certain(job.used),
	cfg: {...base, rackWeight: 0, zoneWeight: 0},
	relocation: undefined,
};

/** What ours is held against. */
export const baselines: readonly Policy[] = [
	withoutHysteresis,
	firstFitDeclared,
	bestFitKnown,
];

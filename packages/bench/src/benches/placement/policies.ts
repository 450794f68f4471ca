/** Placement policies: the one under test and its baselines. */
import * as core from '@gullstand/core';
import type {Resources} from '@gullstand/core';
import type {TraceJob} from './trace.js';

/** A placement policy with its estimates of jobs. */
export type Policy = {
	readonly name: string;
	readonly estimate: (
		job: TraceJob,
		history: core.placement.UsageHistory | undefined,
		usageModel: core.placement.CustomerUsageModel | undefined,
	) => core.placement.UsageEstimate;
	readonly cfg: core.placement.PlacementConfig;
	/** True to place on the first worker with room. */
	readonly firstFit: boolean;
	readonly relocation: core.placement.RelocationConfig | undefined;
};

const certain = (mean: Resources): core.placement.UsageEstimate => ({
	mean,
	deviation: core.placement.noResources,
});

const base = core.placement.defaultPlacementConfig;

/** Policy under test: learned usage with a margin, hysteresis on moves. */
export const learned: Policy = {
	name: 'learned',
	estimate: (job, history, usageModel) =>
		core.placement.estimateUsage(job, history, usageModel),
	cfg: base,
	firstFit: false,
	relocation: core.placement.defaultRelocationConfig,
};

/** The same without hysteresis on moves. */
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

/** First fit on declared sizes. */
export const firstFitDeclared: Policy = {
	...learned,
	name: 'first fit, declared',
	estimate: (job) => certain(job.declared),
	firstFit: true,
	relocation: undefined,
};

/** Lower bound: best fit with the true sizes known in advance. */
export const bestFitKnown: Policy = {
	...learned,
	name: 'best fit, known',
	estimate: (job) => certain(job.used),
	cfg: {...base, rackWeight: 0, zoneWeight: 0},
	relocation: undefined,
};

/** Policies that the policy under test is compared with. */
export const baselines: readonly Policy[] = [
	withoutHysteresis,
	firstFitDeclared,
	bestFitKnown,
];

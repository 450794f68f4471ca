/** The operator's settings of at-most-once requests, as the parts take them. */
import * as core from '@gullstand/core';
import {type GroupSettings, defaultGroupSettings} from './group-writer.js';

/** The section `[idempotency]` of an entry's settings. */
export type IdempotencySettings = Pick<
	core.idempotency.Settings,
	| 'retentionMs'
	| 'storeWithinMs'
	| 'settleWithinMs'
	| 'clockSkewMs'
	| 'inlineBytes'
	| 'outageOutcome'
> & {
	readonly commitSpacingMs: number;
	readonly maxAttempts: number;
};

/** Settings of the decisions, with what operators do not set. */
export const getDecisionSettings = (
	cfg: IdempotencySettings,
): core.idempotency.Settings => {
	const {commitSpacingMs, maxAttempts, ...rest} = cfg;
	return {...core.idempotency.defaultSettings, ...rest};
};

/** Settings of the group writer. */
export const getGroupSettings = (cfg: IdempotencySettings): GroupSettings => ({
	...defaultGroupSettings,
	spacingMs: cfg.commitSpacingMs,
});

/** Shortest retention that is safe with the other settings. */
export const getShortestRetentionMs = (cfg: IdempotencySettings): number =>
	core.idempotency.getShortestRetentionMs(getDecisionSettings(cfg));

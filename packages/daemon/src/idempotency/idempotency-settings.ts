/** Converts the operator's idempotency settings to those of the modules. */
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

/** Settings of the core, with defaults for those not set by operators. */
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

/** Minimum safe retention with the other settings, in milliseconds. */
export const getShortestRetentionMs = (cfg: IdempotencySettings): number =>
	core.idempotency.getShortestRetentionMs(getDecisionSettings(cfg));

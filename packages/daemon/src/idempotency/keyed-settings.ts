/** The operator's settings of at-most-once requests, as the parts take them. */
import * as core from '@gullstand/core';
import {type GroupSettings, defaultGroupSettings} from './group-writer.js';

/** The section `[idempotency]` of an entry's settings. */
export type KeyedSettings = Pick<
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
export const getKeySettings = (
	cfg: KeyedSettings,
): core.idempotency.Settings => {
	const {commitSpacingMs, maxAttempts, ...rest} = cfg;
	return {...core.idempotency.defaultSettings, ...rest};
};

/** Settings of the group writer. */
export const getGroupSettings = (cfg: KeyedSettings): GroupSettings => ({
	...defaultGroupSettings,
	spacingMs: cfg.commitSpacingMs,
});

/** Shortest retention that is safe with the other settings. */
export const getShortestRetentionMs = (cfg: KeyedSettings): number =>
	core.idempotency.getShortestRetentionMs(getKeySettings(cfg));

/** Chooses the executor of the next attempt of a request. */
import * as core from '@gullstand/core';
import type {ExecutorLink, UpstreamState} from './state.js';
import type {Slot} from './types.js';

/** An executor and the slot held on it. */
export type Target = {readonly link: ExecutorLink; readonly slot: Slot};

/** Executors and zones of earlier attempts of a request. */
export type AttemptHistory = {
	/** Ids of executors that have had an attempt. */
	readonly tried: Set<string>;
	readonly failedZones: Set<string>;
};

/** Factor on the weight of an executor with suspected connections. */
const suspectedWeightFactor = 0.1;

const listCandidates = (state: UpstreamState) => {
	const now = state.clock();
	const weighted = core.executorWeights.listWeights(state.health, now);
	return weighted.map(({id, weight}) => {
		const isSuspected =
			state.links.get(id)?.probeState.suspectedAt !== undefined;
		return {id, weight: isSuspected ? weight * suspectedWeightFactor : weight};
	});
};

/**
 * Takes a slot on an executor; prefers untried executors in zones without a
 * failure of this request. Undefined if no executor has a free slot.
 */
export const acquireTarget = (
	state: UpstreamState,
	{tried, failedZones}: AttemptHistory,
): Target | undefined => {
	const all = listCandidates(state);
	const untried = all.filter(({id}) => !tried.has(id));
	const inOtherZones = untried.filter(({id}) => {
		const zone = state.links.get(id)?.availabilityZone;
		return zone !== undefined && !failedZones.has(zone);
	});
	for (const candidates of tried.size === 0
		? [all]
		: [inOtherZones, untried, all]) {
		const slot = state.takeSlot(candidates);
		const link = slot && state.links.get(slot.executor);
		if (slot && link) {
			return {link, slot};
		}

		slot?.release(false);
	}

	return undefined;
};

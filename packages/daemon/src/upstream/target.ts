/** Which executor takes the next attempt of a request. */
import * as core from '@gullstand/core';
import type {ExecutorLink, UpstreamState} from './state.js';
import type {Slot} from './types.js';

/** An executor and the slot held on it. */
export type Target = {readonly link: ExecutorLink; readonly slot: Slot};

/** Where a request has been already. */
export type AttemptHistory = {
	/** Executors by id. */
	readonly tried: Set<string>;
	readonly failedZones: Set<string>;
};

/** Share of the weight that is left while connections are in doubt. */
const suspectedWeightFactor = 0.1;

const listCandidates = (state: UpstreamState) => {
	const now = state.clock();
	const weighted = core.executorWeights.listWeights(state.health, now);
	return weighted.map(({id, weight}) => {
		const doubtful = state.links.get(id)?.probeState.suspectedAt !== undefined;
		return {id, weight: doubtful ? weight * suspectedWeightFactor : weight};
	});
};

/**
 * Takes a slot on an executor; prefers those not tried, and zones that have
 * not failed this request. Undefined if all are full.
 */
export const acquireTarget = (
	state: UpstreamState,
	{tried, failedZones}: AttemptHistory,
): Target | undefined => {
	const all = listCandidates(state);
	const untried = all.filter(({id}) => !tried.has(id));
	const elsewhere = untried.filter(({id}) => {
		const zone = state.links.get(id)?.availabilityZone;
		return zone !== undefined && !failedZones.has(zone);
	});
	for (const candidates of tried.size === 0
		? [all]
		: [elsewhere, untried, all]) {
		const slot = state.takeSlot(candidates);
		const link = slot && state.links.get(slot.executor);
		if (slot && link) {
			return {link, slot};
		}

		slot?.release(false);
	}

	return undefined;
};

/**
 * Fraction of each contracted rate and of each executor's slots that this entry
 * uses: one over the number of live entries on the platform's delayed list.
 */
import type * as core from '@gullstand/core';
import type {InstanceList} from '@gullstand/ports';
import {listServing} from '../view/list-serving.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';

/** The share and the part that updates it. */
export type EntryShare = Part & {readonly getShare: () => number};

const pollMs = 5000;

/** Polls the list; a failed read leaves the share unchanged. */
export const createEntryShare = (
	list: InstanceList,
	entriesUntilKnown: number,
): EntryShare => {
	let entries = entriesUntilKnown;
	const poll = async () => {
		const found = await list.list();
		if (found.ok) {
			const live = found.value.filter(
				(each) => each.role === 'entry' && each.state === 'live',
			);
			entries = Math.max(1, live.length);
		}
	};

	const ticker = createTicker(poll, pollMs, Math.random);
	return {
		name: 'entry-share',
		async start(reportFailure) {
			await poll();
			await ticker.start(reportFailure);
		},
		stop: async () => ticker.stop(),
		getShare: () => 1 / entries,
	};
};

/** Requests of one entry to one executor; one connection is for probes. */
const getExecutorLimit = (service: core.Service, entries: number): number => {
	const connections = Math.floor(service.connectionsPerExecutor / entries);
	return Math.max(1, Math.min(service.slotsPerExecutor, connections - 1));
};

/** Dependencies of `createSlotShare`. */
export type SlotShareDeps = {
	readonly getView: () => core.View;
	readonly getShare: () => number;
	readonly entriesSharingConnections: number;
};

/** Caches `getSlotShare` by service until the view or the share changes. */
export const createSlotShare = (
	deps: SlotShareDeps,
): ((service: core.Service) => number) => {
	const {getView, getShare, entriesSharingConnections} = deps;
	const counts = new Map<string, number>();
	let revision = -1;
	let share = 0;
	return (service) => {
		const view = getView();
		if (view.revision !== revision || share !== getShare()) {
			counts.clear();
			revision = view.revision;
			share = getShare();
		}

		const known = counts.get(service.name);
		if (known !== undefined) {
			return known;
		}

		const {length} = listServing(view, service.pool);
		const count = getSlotShare(
			service,
			length,
			share,
			entriesSharingConnections,
		);
		counts.set(service.name, count);
		return count;
	};
};

/**
 * Slots of this entry in an even split: at least one if any executor serves,
 * at most what its connections allow, which are split between
 * `entriesSharingConnections`.
 */
export const getSlotShare = (
	service: core.Service,
	executors: number,
	share: number,
	entriesSharingConnections: number,
): number => {
	if (executors === 0) {
		return 0;
	}

	const even = Math.round(executors * service.slotsPerExecutor * share);
	const limit = getExecutorLimit(service, entriesSharingConnections);
	return Math.min(executors * limit, Math.max(1, even));
};

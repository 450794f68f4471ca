/**
 * This entry's part of each contracted rate and of each executor's slots: one
 * over the number of live entries on the lagging list.
 */
import type * as core from '@gullstand/core';
import type {InstanceList} from '@gullstand/ports';
import {listServing} from '../view/list-serving.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';

/** The share, and the part that keeps it. */
export type EntryShare = Part & {readonly getShare: () => number};

const pollMs = 5000;

/** Follows the list; a list that can't be read changes nothing. */
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

/** Requests of one entry on one executor; one connection is for probes. */
const getExecutorLimit = (service: core.Service, entries: number): number => {
	const connections = Math.floor(service.connectionsPerExecutor / entries);
	return Math.max(1, Math.min(service.slotsPerExecutor, connections - 1));
};

/** What counting slots needs. */
export type SlotShareDeps = {
	readonly getView: () => core.View;
	readonly getShare: () => number;
	readonly entriesSharingConnections: number;
};

/** Counts slots by `getSlotShare`, once for each change of view or share. */
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
 * Slots that an even split between entries gives this one, at least one if
 * any executor serves, at most what its connections to each allow when they
 * are split between `entriesSharingConnections`.
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

/**
 * Follows the view: polls one counter row, pulls what is new from the change
 * log, and takes what peers offer. Revisions only grow, whatever the store
 * answers.
 */
import * as core from '@gullstand/core';
import type {followedView, View, viewChange} from '@gullstand/core';
import {type client, type TableService} from '@gullstand/ports';
import type {Part} from '../supervisor/supervisor.js';
import {createEnvironment} from './environment.js';
import {readChanges, readCounter, readView} from './tables.js';
import {createTicker} from './ticker.js';

/** Where the first view came from. */
export type ViewOrigin = 'none' | 'table' | 'peer' | 'snapshot';

/** How the follower stands to the store. */
export type FollowCondition =
	| {readonly kind: 'following'}
	/** The last poll failed; the view may be old. */
	| {readonly kind: 'store-unavailable'}
	/** The store answers with an older state; nothing of it is used. */
	| {readonly kind: 'store-behind'; readonly lost: number}
	/** The store holds another history; an operator must look. */
	| {readonly kind: 'refused'; readonly refusal: followedView.ViewRefusal};

/** Other places to start from while the table service is down, in order. */
export type StartSource = {
	readonly origin: 'peer' | 'snapshot';
	/** Undefined if there is nothing to start from. */
	readonly read: () => Promise<followedView.FollowedView | undefined>;
};

/** What may be set. */
export type FollowerOptions = {
	readonly startSources?: readonly StartSource[];
	readonly env?: client.Environment;
	/** Told of each change of the view, in order. */
	readonly onChange?: (followed: followedView.FollowedView) => void;
	/** Told of deltas that the store has shown, to pass on to peers. */
	readonly onDeltas?: (deltas: readonly viewChange.ViewDelta[]) => void;
};

/** A follower and the view that it holds. */
export type ViewFollower = Part & {
	readonly getView: () => View;
	readonly getFollowed: () => followedView.FollowedView;
	readonly getOrigin: () => ViewOrigin;
	readonly getCondition: () => FollowCondition;
	/** Polls at once; what was committed before the call is then seen. */
	readonly poll: () => Promise<void>;
	/** Takes committed deltas from a peer; polls if some are missing. */
	readonly offerDeltas: (deltas: readonly viewChange.ViewDelta[]) => void;
};

type State = {
	readonly table: TableService;
	readonly options: FollowerOptions;
	followed: followedView.FollowedView;
	/** Highest revision that a peer has shown. */
	highest: number;
	origin: ViewOrigin;
	condition: FollowCondition;
};

const setFollowed = (
	state: State,
	followed: followedView.FollowedView,
): void => {
	if (followed.view.revision > state.followed.view.revision) {
		state.followed = followed;
		state.options.onChange?.(followed);
	}
};

const applyDeltas = (
	state: State,
	deltas: readonly viewChange.ViewDelta[],
): core.followedView.AppliedDeltas => {
	const result = core.followedView.applyDeltas(state.followed, deltas);
	setFollowed(state, result.followed);
	return result;
};

/** Takes over a whole view, from wherever, if it is newer. */
const adopt = (
	state: State,
	snapshot: followedView.FollowedView,
	origin: ViewOrigin,
): void => {
	const adopted = core.followedView.adoptSnapshot(state.followed, snapshot);
	if (adopted.ok) {
		setFollowed(state, adopted.value);
		state.origin = state.origin === 'none' ? origin : state.origin;
		state.condition = {kind: 'following'};
		return;
	}

	state.condition =
		adopted.error.kind === 'stale'
			? {kind: 'following'}
			: {kind: 'refused', refusal: adopted.error};
};

const pullView = async (state: State): Promise<void> => {
	const read = await readView(state.table);
	if (read.ok) {
		adopt(state, read.value, 'table');
		return;
	}

	state.condition = {kind: 'store-unavailable'};
};

/** Deltas that are pulled one by one; further behind, the rows are read. */
const maxPulledDeltas = 1000;

const pullDeltas = async (state: State, to: number): Promise<void> => {
	while (state.followed.view.revision < to) {
		const before = state.followed.view.revision;
		const read = await readChanges(state.table, before);
		if (!read.ok) {
			state.condition = {kind: 'store-unavailable'};
			return;
		}

		const {applied, refusal} = applyDeltas(state, read.value);
		state.options.onDeltas?.(applied);
		if (refusal?.kind === 'gap') {
			await pullView(state);
			return;
		}

		if (refusal) {
			state.condition = {kind: 'refused', refusal};
			return;
		}

		// An older read of the log; the next poll tries again.
		if (state.followed.view.revision === before) {
			return;
		}
	}

	state.condition = {kind: 'following'};
};

const isDiverged = (state: State, deltaId: string): boolean =>
	state.followed.view.revision > 0 && state.followed.deltaId !== deltaId;

const pollOnce = async (state: State): Promise<void> => {
	const counter = await readCounter(state.table);
	if (!counter.ok) {
		state.condition = {kind: 'store-unavailable'};
		return;
	}

	const {revision, deltaId} = counter.value;
	const applied = state.followed.view.revision;
	const verdict = core.readCheck.checkReadRevision(
		applied,
		state.highest,
		revision,
	);
	switch (verdict.kind) {
		case 'unchanged': {
			state.condition = isDiverged(state, deltaId)
				? {kind: 'refused', refusal: {kind: 'diverged', revision}}
				: {kind: 'following'};
			return;
		}

		case 'regressed': {
			state.condition = {kind: 'store-behind', lost: verdict.lost};
			return;
		}

		case 'newer': {
			const isFar = verdict.to - verdict.from > maxPulledDeltas;
			await (applied === 0 || isFar
				? pullView(state)
				: pullDeltas(state, verdict.to));
		}
	}
};

const startElsewhere = async (state: State): Promise<void> => {
	for (const {origin, read} of state.options.startSources ?? []) {
		const found = await read();
		if (found) {
			adopt(state, found, origin);
			state.condition = {kind: 'store-unavailable'};
			return;
		}
	}
};

/** One run at a time; a call during a run waits for one more run. */
const createSerial = (action: () => Promise<void>): (() => Promise<void>) => {
	let current: Promise<void> | undefined;
	let next: Promise<void> | undefined;
	const runNext = async () => {
		try {
			await current;
		} catch {
			// Its own caller was told.
		}

		next = undefined;
		current = action();
		await current;
	};

	return async () => {
		next ??= runNext();
		return next;
	};
};

/** Creates a follower; the view is empty until it starts. */
export const createViewFollower = (
	table: TableService,
	pollMs: number,
	options: FollowerOptions = {},
): ViewFollower => {
	const env = options.env ?? createEnvironment();
	const state: State = {
		table,
		options,
		followed: core.followedView.emptyFollowedView,
		highest: 0,
		origin: 'none',
		condition: {kind: 'store-unavailable'},
	};
	const poll = createSerial(async () => pollOnce(state));
	const tick = async () => {
		await poll();
		const isWithoutStore = state.condition.kind === 'store-unavailable';
		if (isWithoutStore && state.followed.view.revision === 0) {
			await startElsewhere(state);
		}
	};

	const ticker = createTicker(tick, pollMs, env.random);
	return {
		name: 'view-follower',
		getView: () => state.followed.view,
		getFollowed: () => state.followed,
		getOrigin: () => state.origin,
		getCondition: () => state.condition,
		poll,
		offerDeltas(deltas) {
			const {refusal} = applyDeltas(state, deltas);
			const shown = deltas.map(({revision}) => revision);
			state.highest = Math.max(state.highest, ...shown);
			if (refusal?.kind === 'gap') {
				void poll();
			}
		},
		async start(reportFailure) {
			await tick();
			await ticker.start(reportFailure);
		},
		stop: ticker.stop,
	};
};

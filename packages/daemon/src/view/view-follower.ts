/**
 * Follows the view: polls the counter row, reads new changes from the change
 * log, and accepts those that peers offer. The revision never decreases, even
 * if the store returns an older state.
 */
import * as core from '@gullstand/core';
import type {followedView, View, viewChange} from '@gullstand/core';
import {type client, type TableService} from '@gullstand/ports';
import type {Part} from '../supervisor/supervisor.js';
import {createEnvironment} from './environment.js';
import {readChanges, readCounter, readView} from './tables.js';
import {createTicker} from './ticker.js';

/** Source of the first view. */
export type ViewOrigin = 'none' | 'table' | 'peer' | 'snapshot';

/** State of the follower in relation to the store. */
export type FollowCondition =
	| {readonly kind: 'following'}
	/** The last poll failed; the view may be old. */
	| {readonly kind: 'store-unavailable'}
	/** The store returns an older state, which is ignored. */
	| {readonly kind: 'store-behind'; readonly lost: number}
	/** The store holds a different history; an operator must intervene. */
	| {readonly kind: 'refused'; readonly refusal: followedView.ViewRefusal};

/** A fallback for the first view while the table service is unavailable. */
export type StartSource = {
	readonly origin: 'peer' | 'snapshot';
	/** Undefined if the source has no view. */
	readonly read: () => Promise<followedView.FollowedView | undefined>;
};

/** Options of the follower. */
export type FollowerOptions = {
	/** Tried in order. */
	readonly startSources?: readonly StartSource[];
	readonly env?: client.Environment;
	/** Called for each change of the view, in order. */
	readonly onChange?: (followed: followedView.FollowedView) => void;
	/** Called with deltas read from the store, to pass on to peers. */
	readonly onDeltas?: (deltas: readonly viewChange.ViewDelta[]) => void;
};

/** A follower and its current view. */
export type ViewFollower = Part & {
	readonly getView: () => View;
	readonly getFollowed: () => followedView.FollowedView;
	readonly getOrigin: () => ViewOrigin;
	readonly getCondition: () => FollowCondition;
	/** Polls immediately; sees every change committed before the call. */
	readonly poll: () => Promise<void>;
	/** Accepts committed deltas from a peer; polls if some are missing. */
	readonly offerDeltas: (deltas: readonly viewChange.ViewDelta[]) => void;
};

type State = {
	readonly table: TableService;
	readonly options: FollowerOptions;
	followed: followedView.FollowedView;
	/** Highest revision offered by a peer. */
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

/** Adopts a whole view if it is newer. */
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

const loadView = async (state: State): Promise<void> => {
	const read = await readView(state.table);
	if (read.ok) {
		adopt(state, read.value, 'table');
		return;
	}

	state.condition = {kind: 'store-unavailable'};
};

/** A follower that is further behind reads the object rows instead. */
const maxLoadedDeltas = 1000;

const loadDeltas = async (state: State, to: number): Promise<void> => {
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
			await loadView(state);
			return;
		}

		if (refusal) {
			state.condition = {kind: 'refused', refusal};
			return;
		}

		// The read was stale; the next poll retries.
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
	const check = core.readCheck.checkReadRevision(
		applied,
		state.highest,
		revision,
	);
	switch (check.kind) {
		case 'unchanged': {
			state.condition = isDiverged(state, deltaId)
				? {kind: 'refused', refusal: {kind: 'diverged', revision}}
				: {kind: 'following'};
			return;
		}

		case 'regressed': {
			state.condition = {kind: 'store-behind', lost: check.lost};
			return;
		}

		case 'newer': {
			const isFar = check.to - check.from > maxLoadedDeltas;
			await (applied === 0 || isFar
				? loadView(state)
				: loadDeltas(state, check.to));
		}
	}
};

const startFromFallback = async (state: State): Promise<void> => {
	for (const {origin, read} of state.options.startSources ?? []) {
		const found = await read();
		if (found) {
			adopt(state, found, origin);
			state.condition = {kind: 'store-unavailable'};
			return;
		}
	}
};

/** Serializes runs; a call during a run waits for one further run. */
const createSerial = (action: () => Promise<void>): (() => Promise<void>) => {
	let current: Promise<void> | undefined;
	let next: Promise<void> | undefined;
	const runNext = async () => {
		try {
			await current;
		} catch {
			// The error was returned to that run's caller.
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
			await startFromFallback(state);
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
			const revisions = deltas.map(({revision}) => revision);
			state.highest = Math.max(state.highest, ...revisions);
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

/**
 * The view as an entry follows it: revisions only increase, and each delta must
 * continue the chain of the previous one.
 * Source: docs/design/agreement.md.
 */
import type {Instance} from '../types/instance.js';
import {fail, succeed, type Result} from '../types/result.js';
import {emptyView, type View} from '../types/view.js';
import {applyChange, type ViewChange, type ViewDelta} from './view-change.js';

/** A view and the id of the delta that produced it. */
export type FollowedView = {
	readonly view: View;
	/** Id of the last delta; empty at revision 0. */
	readonly deltaId: string;
};

/** Why a delta or snapshot was not applied; the view does not change. */
export type ViewRefusal =
	/** Not newer than the view: a repeated or reordered message. */
	| {readonly kind: 'stale'; readonly revision: number}
	/** Deltas are missing; the log must be read from `expected`. */
	| {
			readonly kind: 'gap';
			readonly expected: number;
			readonly revision: number;
	  }
	/** A different history at the same revision: the store lost commits. */
	| {readonly kind: 'diverged'; readonly revision: number}
	/**
	 * An instance has a lower epoch, or changed at the same epoch: the store
	 * returned an older row.
	 */
	| {readonly kind: 'epoch-regressed'; readonly instance: string};

/** The state before the first read. */
export const emptyFollowedView: FollowedView = {view: emptyView, deltaId: ''};

const isRegressed = (known: Instance, next: Instance): boolean =>
	next.epoch < known.epoch ||
	(next.epoch === known.epoch &&
		(next.pool !== known.pool || next.state !== known.state));

const findRegressedInstance = (
	view: View,
	changes: readonly ViewChange[],
): string | undefined => {
	for (const change of changes) {
		if (change.kind !== 'put-instance') {
			continue;
		}

		const known = view.instances.get(change.instance.id);
		if (known && isRegressed(known, change.instance)) {
			return change.instance.id;
		}
	}

	return undefined;
};

/** Applies the next delta, completely or not at all. */
export const applyDelta = (
	followed: FollowedView,
	delta: ViewDelta,
): Result<FollowedView, ViewRefusal> => {
	const {view, deltaId} = followed;
	const {revision} = delta;
	const expected = view.revision + 1;
	if (revision === view.revision && delta.id !== deltaId) {
		return fail({kind: 'diverged', revision} as const);
	}

	if (revision < expected) {
		return fail({kind: 'stale', revision} as const);
	}

	if (revision > expected) {
		return fail({kind: 'gap', expected, revision} as const);
	}

	if (delta.previousId !== deltaId) {
		return fail({kind: 'diverged', revision} as const);
	}

	const instance = findRegressedInstance(view, delta.changes);
	if (instance !== undefined) {
		return fail({kind: 'epoch-regressed', instance} as const);
	}

	let changed = view;
	for (const change of delta.changes) {
		changed = applyChange(changed, change);
	}

	return succeed({view: {...changed, revision}, deltaId: delta.id});
};

/** Result of applying a batch of deltas. */
export type AppliedDeltas = {
	readonly followed: FollowedView;
	readonly applied: readonly ViewDelta[];
	/** The first refusal other than `stale`; later deltas were not applied. */
	readonly refusal?: ViewRefusal;
};

/**
 * Applies deltas in the order of their revisions, regardless of the order of
 * arrival; repeated ones are skipped.
 */
export const applyDeltas = (
	followed: FollowedView,
	deltas: readonly ViewDelta[],
): AppliedDeltas => {
	const applied: ViewDelta[] = [];
	let current = followed;
	for (const delta of deltas.toSorted((a, b) => a.revision - b.revision)) {
		const result = applyDelta(current, delta);
		if (result.ok) {
			current = result.value;
			applied.push(delta);
		} else if (result.error.kind !== 'stale') {
			return {followed: current, applied, refusal: result.error};
		}
	}

	return {followed: current, applied};
};

/** Adopts a snapshot of a peer or of the object store if it is newer. */
export const adoptSnapshot = (
	followed: FollowedView,
	snapshot: FollowedView,
): Result<FollowedView, ViewRefusal> => {
	const {revision} = snapshot.view;
	if (
		revision === followed.view.revision &&
		snapshot.deltaId !== followed.deltaId
	) {
		return fail({kind: 'diverged', revision} as const);
	}

	return revision > followed.view.revision
		? succeed(snapshot)
		: fail({kind: 'stale', revision} as const);
};

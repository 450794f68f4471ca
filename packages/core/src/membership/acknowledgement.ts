/**
 * What an entry acknowledges: the revision in force in its routers, and the
 * instances that leave but still have its requests in flight.
 * Source: docs/design/agreement.md.
 */
import type {View} from '../types/view.js';

/** One life of an entry; a restart at the same address is another. */
export type EntryIncarnation = {
	readonly entry: string;
	readonly incarnation: string;
};

/** One acknowledgement; only the newest of a life counts. */
export type Acknowledgement = EntryIncarnation & {
	/** Grows with each acknowledgement of this life. */
	readonly sequence: number;
	/** Every request dispatched from now on uses at least this revision. */
	readonly inForce: number;
	/** Instances that get no new work but have requests in flight. */
	readonly holding: readonly string[];
};

/** What the routers of one entry do now. */
export type RouterState = {
	/** Revision of the view by which the routers pick. */
	readonly routedRevision: number;
	/**
	 * Requests by instance, counted from the pick of the instance to the end
	 * of the answer; one whose connection was cut counts until its hold ends.
	 */
	readonly inFlight: ReadonlyMap<string, number>;
	/**
	 * True for the longest request after the start of a life that took the
	 * place of an earlier one: executors may still run what that one sent.
	 */
	readonly mayHaveInheritedRequests?: boolean;
};

const isHeld = (view: View, instance: string): boolean =>
	view.instances.get(instance)?.state !== 'serving';

/** Instances with requests in flight that may get no new ones. */
export const listHeldInstances = (
	view: View,
	router: RouterState,
): readonly string[] => {
	const held = new Set<string>();
	for (const [instance, count] of router.inFlight) {
		if (count > 0 && isHeld(view, instance)) {
			held.add(instance);
		}
	}

	if (router.mayHaveInheritedRequests) {
		for (const {id, state} of view.instances.values()) {
			if (state === 'draining') {
				held.add(id);
			}
		}
	}

	return [...held];
};

/** What an entry acknowledges from. */
export type AcknowledgementInput = {
	readonly view: View;
	readonly router: RouterState;
	/** Acknowledgements of the entries that this one sponsors. */
	readonly sponsored?: readonly Acknowledgement[];
};

/**
 * Makes the acknowledgement of an entry. Received but not routed revisions
 * do not count. An entry that sponsors others speaks for the slowest of them.
 */
export const createAcknowledgement = (
	life: EntryIncarnation,
	sequence: number,
	{view, router, sponsored = []}: AcknowledgementInput,
): Acknowledgement => {
	const holding = new Set(listHeldInstances(view, router));
	let inForce = Math.min(view.revision, router.routedRevision);
	for (const each of sponsored) {
		inForce = Math.min(inForce, each.inForce);
		for (const instance of each.holding) {
			holding.add(instance);
		}
	}

	return {
		entry: life.entry,
		incarnation: life.incarnation,
		sequence,
		inForce,
		holding: [...holding],
	};
};

/** True if both are the same life of the same entry. */
export const isSameIncarnation = (
	one: EntryIncarnation,
	two: EntryIncarnation,
): boolean => one.entry === two.entry && one.incarnation === two.incarnation;

/**
 * Takes the newer of two acknowledgements. One of another life than the
 * registered one says nothing and is dropped.
 */
export const chooseNewerAcknowledgement = (
	known: Acknowledgement,
	received: Acknowledgement,
): Acknowledgement =>
	isSameIncarnation(known, received) && received.sequence > known.sequence
		? received
		: known;

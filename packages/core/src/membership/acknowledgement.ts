/**
 * Acknowledgements of an entry: the revision in force in its routers, and the
 * instances that get no new requests but still have some in flight.
 * Source: docs/design/agreement.md.
 */
import type {View} from '../types/view.js';

/**
 * One incarnation of an entry; a restart at the same address is another one.
 */
export type EntryIncarnation = {
	readonly entry: string;
	readonly incarnation: string;
};

/** An acknowledgement; only the newest of an incarnation counts. */
export type Acknowledgement = EntryIncarnation & {
	/** Grows with each acknowledgement of this incarnation. */
	readonly sequence: number;
	/**
	 * Every request dispatched from now on uses at least this revision of the
	 * view.
	 */
	readonly inForce: number;
	/** Instances that get no new requests but have some in flight. */
	readonly holding: readonly string[];
};

/** Current state of the routers of one entry. */
export type RouterState = {
	/** Revision of the view that the routers use. */
	readonly routedRevision: number;
	/**
	 * Requests in flight by instance, counted from the choice of the instance
	 * to the end of the response. A request whose connection was cut counts
	 * until its hold ends.
	 */
	readonly inFlight: ReadonlyMap<string, number>;
	/**
	 * Whether executors may still run requests of a previous incarnation. True
	 * for the duration of the longest request after this one replaced it.
	 */
	readonly mayHaveInheritedRequests?: boolean;
};

const isOutOfService = (view: View, instance: string): boolean =>
	view.instances.get(instance)?.state !== 'serving';

/**
 * Lists the instances that may get no new requests but may have some in flight.
 */
export const listHeldInstances = (
	view: View,
	router: RouterState,
): readonly string[] => {
	const held = new Set<string>();
	for (const [instance, count] of router.inFlight) {
		if (count > 0 && isOutOfService(view, instance)) {
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

/** Input of an acknowledgement. */
export type AcknowledgementInput = {
	readonly view: View;
	readonly router: RouterState;
	/** Acknowledgements of the entries that this entry sponsors. */
	readonly sponsored?: readonly Acknowledgement[];
};

/**
 * Creates the acknowledgement of an entry. Revisions that were received but are
 * not yet used for routing do not count. An entry that sponsors others
 * acknowledges the lowest revision among them.
 */
export const createAcknowledgement = (
	self: EntryIncarnation,
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
		entry: self.entry,
		incarnation: self.incarnation,
		sequence,
		inForce,
		holding: [...holding],
	};
};

/** Whether both are the same incarnation of the same entry. */
export const isSameIncarnation = (
	first: EntryIncarnation,
	second: EntryIncarnation,
): boolean =>
	first.entry === second.entry && first.incarnation === second.incarnation;

/**
 * Returns the newer of two acknowledgements. One of another incarnation than
 * the registered one is ignored.
 */
export const chooseNewerAcknowledgement = (
	known: Acknowledgement,
	received: Acknowledgement,
): Acknowledgement =>
	isSameIncarnation(known, received) && received.sequence > known.sequence
		? received
		: known;

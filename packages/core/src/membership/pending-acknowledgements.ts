/**
 * Lists the registered entries that a change still waits for.
 * Source: docs/design/agreement.md. Operators see it as `lags`.
 */
import {
	chooseNewerAcknowledgement,
	type Acknowledgement,
} from './acknowledgement.js';
import type {Registration} from './registration.js';

/** What every registered entry must acknowledge. */
export type Requirement = {
	/** Minimum revision in force. */
	readonly revision: number;
	/** Instance that must have no requests in flight. */
	readonly instance?: string;
};

/** An entry that a change waits for, and the reason. */
export type PendingAcknowledgement = {
	readonly entry: string;
	readonly incarnation: string;
	readonly reason:
		/** The entry routes by an older revision. */
		| 'not-in-force'
		/** The entry has requests in flight on the instance. */
		| 'holding';
	readonly inForce: number;
};

/** Acknowledgements received from peers, the newest of each entry. */
export type ReceivedAcknowledgements = ReadonlyMap<string, Acknowledgement>;

/**
 * Returns the newest acknowledgement of a registered incarnation, from its row
 * or from a peer.
 */
export const getNewestAcknowledgement = (
	{acknowledged}: Registration,
	receivedByEntry: ReceivedAcknowledgements,
): Acknowledgement => {
	const received = receivedByEntry.get(acknowledged.entry);
	return received
		? chooseNewerAcknowledgement(acknowledged, received)
		: acknowledged;
};

const getPendingAcknowledgement = (
	{entry, incarnation, inForce, holding}: Acknowledgement,
	{revision, instance}: Requirement,
): PendingAcknowledgement | undefined => {
	if (inForce < revision) {
		return {entry, incarnation, reason: 'not-in-force', inForce};
	}

	return instance !== undefined && holding.includes(instance)
		? {entry, incarnation, reason: 'holding', inForce}
		: undefined;
};

/**
 * Lists the registered entries that have not met a requirement, with the
 * reason.
 */
export const listPendingAcknowledgements = (
	registrations: Iterable<Registration>,
	receivedByEntry: ReceivedAcknowledgements,
	requirement: Requirement,
): readonly PendingAcknowledgement[] => {
	const pendingEntries: PendingAcknowledgement[] = [];
	for (const registration of registrations) {
		const pending = getPendingAcknowledgement(
			getNewestAcknowledgement(registration, receivedByEntry),
			requirement,
		);
		if (pending) {
			pendingEntries.push(pending);
		}
	}

	return pendingEntries;
};

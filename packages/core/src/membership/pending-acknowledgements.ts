/**
 * Which registered entries a change still waits for.
 * Source: docs/design/agreement.md; operators see it as `lags`.
 */
import {
	chooseNewerAcknowledgement,
	type Acknowledgement,
} from './acknowledgement.js';
import type {Registration} from './registration.js';

/** What every entry must have done. */
export type Requirement = {
	/** Revision that must be in force. */
	readonly revision: number;
	/** Instance that must have no request in flight, if any. */
	readonly instance?: string;
};

/** An entry that a change waits for, and why. */
export type PendingAcknowledgement = {
	readonly entry: string;
	readonly incarnation: string;
	readonly reason:
		/** Routes by an older revision. */
		| 'not-in-force'
		/** Has requests in flight on the instance. */
		| 'holding';
	readonly inForce: number;
};

/** Acknowledgements heard from peers, the newest of each entry. */
export type ReceivedAcknowledgements = ReadonlyMap<string, Acknowledgement>;

/** The newest acknowledgement of a registered life, from row or peer. */
export const getNewestAcknowledgement = (
	{acknowledged}: Registration,
	heard: ReceivedAcknowledgements,
): Acknowledgement => {
	const received = heard.get(acknowledged.entry);
	return received
		? chooseNewerAcknowledgement(acknowledged, received)
		: acknowledged;
};

const getLag = (
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

/** Lists the registered entries that have not met a requirement. */
export const listPendingAcknowledgements = (
	registrations: Iterable<Registration>,
	heard: ReceivedAcknowledgements,
	requirement: Requirement,
): readonly PendingAcknowledgement[] => {
	const lagging: PendingAcknowledgement[] = [];
	for (const registration of registrations) {
		const lag = getLag(
			getNewestAcknowledgement(registration, heard),
			requirement,
		);
		if (lag) {
			lagging.push(lag);
		}
	}

	return lagging;
};

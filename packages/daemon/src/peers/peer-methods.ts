/**
 * Methods of the peer channel. A new method needs an entry in `PeerMethods` and
 * a schema of its parameters.
 */
import type {acknowledgement, CreditMessage, viewChange} from '@gullstand/core';
import type {z} from 'zod';
import type {JobPeerMethods} from '../jobs/peer-methods.js';

/** An entry and its incarnation. */
export type PeerIdentity = {
	readonly entry: string;
	readonly incarnation: string;
};

/** Parameters and result of each method. */
export type PeerMethods = {
	/** Liveness; returns the age of the peer's confirmation, in milliseconds. */
	readonly ping: {
		readonly params: {readonly entry: string};
		readonly result: {
			readonly incarnation: string;
			readonly revision: number;
			readonly confirmedAgeMs: number;
		};
	};
	/** A committed change; `awaitedBy` receives acknowledgements of it. */
	readonly offerDelta: {
		readonly params: {
			readonly delta: viewChange.ViewDelta;
			readonly awaitedBy?: string | undefined;
		};
		readonly result: {readonly revision: number};
	};
	/** An acknowledgement, sent before its row in the table service. */
	readonly acknowledge: {
		readonly params: acknowledgement.Acknowledgement;
		readonly result: Record<string, never>;
	};
	/** The whole view, for an entry that starts in an outage. */
	readonly readView: {
		readonly params: Record<string, never>;
		readonly result: PeerView;
	};
	/** Reports and grants of slot credits; returns those for the caller. */
	readonly credits: {
		readonly params: {
			readonly messages: readonly CreditMessage[];
			/** Address and port of the caller's peer channel. */
			readonly address: string;
			/** The caller is about to stop. */
			readonly isLeaving: boolean;
		};
		readonly result: {readonly messages: readonly CreditMessage[]};
	};
	/** Asks a registered entry to acknowledge for an unregistered one. */
	readonly sponsor: {
		readonly params: acknowledgement.Acknowledgement;
		readonly result: {
			readonly isSponsored: boolean;
			readonly confirmedAgeMs: number;
		};
	};
} & JobPeerMethods;

/** A followed view as JSON. */
export type PeerView = {
	readonly revision: number;
	readonly deltaId: string;
	readonly changes: readonly viewChange.ViewChange[];
};

/** Name of a method. */
export type PeerMethod = keyof PeerMethods;

/** Handler of a method; `from` is authenticated. */
export type PeerHandler<Method extends PeerMethod> = (
	params: PeerMethods[Method]['params'],
	from: PeerIdentity,
) => PeerMethods[Method]['result'] | Promise<PeerMethods[Method]['result']>;

/** Schema of a method's parameters. */
export type PeerSchema<Method extends PeerMethod> = z.ZodType<
	PeerMethods[Method]['params']
>;

/** Why a call failed. */
export type PeerError = {
	readonly kind:
		/** The call was certainly not sent. */
		| 'unreachable'
		/** The connection ended without an answer; it may have been carried out. */
		| 'connection-lost'
		/** As with a lost connection. */
		| 'timeout'
		| 'refused'
		| 'not-authentic'
		| 'method-failed';
	readonly message: string;
};

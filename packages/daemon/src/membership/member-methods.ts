/** Peer methods for acknowledgements, liveness and sponsorship. */
import * as core from '@gullstand/core';
import type {acknowledgement, viewChange} from '@gullstand/core';
import {z} from 'zod';
import {createImage} from '../view/view-image.js';
import {createAcknowledgement} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {acknowledgementSchema} from './membership-rows.js';

/** How long a peer that offered a change receives acknowledgements. */
const awaitMs = 30_000;

const deltaSchema = z.looseObject({
	revision: z.int().min(1),
	id: z.string().min(1),
	previousId: z.string(),
	author: z.string(),
	committedAt: z.number(),
	changes: z.array(z.looseObject({kind: z.string()})),
}) as unknown as z.ZodType<viewChange.ViewDelta>;

const getConfirmedAgeMs = (deps: MemberDeps, state: MemberState): number =>
	Math.min(deps.now() - state.status.confirmedAt, deps.settings.forgetAfterMs);

/**
 * Records an acknowledgement, unless a newer one of the same incarnation is
 * known.
 */
export const recordAcknowledgement = (
	state: MemberState,
	ack: acknowledgement.Acknowledgement,
): void => {
	const known = state.received.get(ack.entry);
	const isKnownIncarnation = known?.incarnation === ack.incarnation;
	state.received.set(
		ack.entry,
		isKnownIncarnation
			? core.acknowledgement.chooseNewerAcknowledgement(known, ack)
			: ack,
	);
};

const sponsor = (
	deps: MemberDeps,
	state: MemberState,
	ack: acknowledgement.Acknowledgement,
): boolean => {
	const mayControl = core.membershipStatus.mayControl(
		state.status,
		deps.settings,
		deps.now(),
	);
	const known = state.sponsored.get(ack.entry);
	const isKnown =
		known !== undefined &&
		core.acknowledgement.isSameIncarnation(known.ack, ack);
	// Others may already act on the revision that this entry acknowledged.
	if (!mayControl || (!isKnown && ack.inForce < state.highestInForce)) {
		return false;
	}

	state.sponsored.set(ack.entry, {ack, askedAt: deps.now()});
	return true;
};

/** Registers membership methods on the peer channel. */
export const addMemberMethods = (
	deps: MemberDeps,
	state: MemberState,
	{
		sendAcknowledgement,
		confirm,
	}: {
		readonly sendAcknowledgement: () => void;
		/** Confirms this entry if its confirmation has expired. */
		readonly confirm: () => Promise<boolean>;
	},
): void => {
	const {peers} = deps;
	peers.addMethod('ping', z.object({entry: z.string()}), (_params, from) => {
		state.confirmedPeers.set(from.entry, deps.now());
		return {
			incarnation: deps.self.incarnation,
			revision: deps.getFollowed().view.revision,
			confirmedAgeMs: getConfirmedAgeMs(deps, state),
		};
	});
	peers.addMethod(
		'offerDelta',
		z.object({delta: deltaSchema, awaitedBy: z.string().optional()}),
		({delta, awaitedBy}) => {
			deps.offerDeltas([delta]);
			if (awaitedBy !== undefined) {
				state.awaitedBy.set(awaitedBy, deps.now() + awaitMs);
				state.lastSent = '';
				sendAcknowledgement();
			}

			return {revision: deps.getFollowed().view.revision};
		},
	);
	peers.addMethod('acknowledge', acknowledgementSchema, (ack, from) => {
		if (core.acknowledgement.isSameIncarnation(ack, from)) {
			recordAcknowledgement(state, ack);
		}

		return {};
	});
	peers.addMethod('readView', z.object({}), () =>
		createImage(deps.getFollowed()),
	);
	peers.addMethod('sponsor', acknowledgementSchema, async (ack, from) => {
		await confirm();
		return {
			isSponsored:
				core.acknowledgement.isSameIncarnation(ack, from) &&
				sponsor(deps, state, ack),
			confirmedAgeMs: getConfirmedAgeMs(deps, state),
		};
	});
};

const sendToPeer = async (
	deps: MemberDeps,
	state: MemberState,
	address: string,
	ack: acknowledgement.Acknowledgement,
) => {
	const answer = await deps.peers.call(
		address,
		'acknowledge',
		ack,
		deps.callTimeoutMs,
	);
	if (!answer.ok) {
		// Makes the next periodic check send it again.
		state.lastSent = '';
	}
};

/** Sends the acknowledgement to waiting peers if it has changed. */
export const sendAcknowledgement = (
	deps: MemberDeps,
	state: MemberState,
): void => {
	const ack = createAcknowledgement(deps, state);
	recordAcknowledgement(state, ack);
	const text = JSON.stringify([ack.inForce, ack.holding]);
	if (!state.isRegistered || text === state.lastSent) {
		return;
	}

	state.lastSent = text;
	for (const [address, until] of state.awaitedBy) {
		if (until < deps.now()) {
			state.awaitedBy.delete(address);
		} else {
			void sendToPeer(deps, state, address, ack);
		}
	}
};

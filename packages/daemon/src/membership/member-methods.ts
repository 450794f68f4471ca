/** What entries say to one another about acknowledgement and standing. */
import * as core from '@gullstand/core';
import type {acknowledgement, viewChange} from '@gullstand/core';
import {z} from 'zod';
import {createImage} from '../view/view-image.js';
import {createAcknowledgement} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {acknowledgementSchema} from './membership-rows.js';

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

/** Keeps the newest acknowledgement of the newest life that spoke. */
export const recordAcknowledgement = (
	state: MemberState,
	ack: acknowledgement.Acknowledgement,
): void => {
	const known = state.received.get(ack.entry);
	const isKnownLife = known?.incarnation === ack.incarnation;
	state.received.set(
		ack.entry,
		isKnownLife
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
	// Others may act on what this entry has acknowledged already.
	if (!mayControl || (!isKnown && ack.inForce < state.highestInForce)) {
		return false;
	}

	state.sponsored.set(ack.entry, {ack, askedAt: deps.now()});
	return true;
};

/** Adds the methods of membership to the peer channel. */
export const addMemberMethods = (
	deps: MemberDeps,
	state: MemberState,
	sendAcknowledgement: () => void,
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
	peers.addMethod('sponsor', acknowledgementSchema, (ack, from) => ({
		isSponsored:
			core.acknowledgement.isSameIncarnation(ack, from) &&
			sponsor(deps, state, ack),
		confirmedAgeMs: getConfirmedAgeMs(deps, state),
	}));
};

const tell = async (
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
		// Sent again with the next look at the in-flight work.
		state.lastSent = '';
	}
};

/** Tells those who wait for it what is in force, if that has changed. */
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
			void tell(deps, state, address, ack);
		}
	}
};

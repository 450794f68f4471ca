/** Builds this entry's acknowledgement and its registration row. */
import * as core from '@gullstand/core';
import type {acknowledgement, registration} from '@gullstand/core';
import type {MemberDeps, MemberState} from './member-state.js';

const countInFlight = (deps: MemberDeps): ReadonlyMap<string, number> => {
	const inFlight = new Map<string, number>();
	for (const {id, state} of deps.getFollowed().view.instances.values()) {
		if (state !== 'serving') {
			inFlight.set(id, deps.getInFlight(id));
		}
	}

	return inFlight;
};

/**
 * How long executors may still run requests of the previous incarnation, which
 * may also have sponsored entries that nobody else knows of
 * (spec/sponsor.pml).
 */
const getInheritedRequestsMs = ({settings}: MemberDeps): number =>
	settings.isolationMs + settings.stallMarginMs + settings.longestRequestMs;

/** Removes sponsored entries that must have stopped routing by now. */
const removeExpiredSponsored = (deps: MemberDeps, state: MemberState) => {
	for (const [entry, {askedAt}] of state.sponsored) {
		if (deps.now() - askedAt > deps.settings.forgetAfterMs) {
			state.sponsored.delete(entry);
		}
	}
};

/** Applies the current view to routing and acknowledges it. */
export const createAcknowledgement = (
	deps: MemberDeps,
	state: MemberState,
): acknowledgement.Acknowledgement => {
	removeExpiredSponsored(deps, state);
	const {view} = deps.getFollowed();
	deps.route(view);
	const upMs = deps.now() - state.startedAt;
	state.sequence += 1;
	const ack = core.acknowledgement.createAcknowledgement(
		deps.self,
		state.sequence,
		{
			view,
			router: {
				routedRevision: view.revision,
				inFlight: countInFlight(deps),
				mayHaveInheritedRequests:
					state.hasReplaced && upMs < getInheritedRequestsMs(deps),
			},
			sponsored: [...state.sponsored.values()].map(({ack}) => ack),
		},
	);
	state.highestInForce = Math.max(state.highestInForce, ack.inForce);
	return ack;
};

/** A quorum whose write has an unknown outcome is written again. */
const chooseQuorum = (
	deps: MemberDeps,
	state: MemberState,
): readonly string[] =>
	state.pendingQuorum ?? [
		...new Set([deps.self.entry, ...state.members.registrations.keys()]),
	];

/** Builds this entry's registration row. */
export const createRegistration = (
	deps: MemberDeps,
	state: MemberState,
): registration.Registration => {
	const now = deps.now();
	const heard = [...state.confirmedPeers]
		.filter(([, at]) => now - at <= deps.settings.forgetAfterMs)
		.map(([entry]) => entry);
	return {
		address: deps.peers.getAddress(),
		availabilityZone: deps.availabilityZone,
		acknowledged: createAcknowledgement(deps, state),
		upMs: now - state.startedAt,
		heard,
		quorum: chooseQuorum(deps, state),
	};
};

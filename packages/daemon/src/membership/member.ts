/**
 * Membership of this entry as a part: registers before it serves, sends one
 * heartbeat for all its pools and shards, acknowledges what is in force, and
 * stops routing by itself when it cannot be confirmed.
 */
import * as core from '@gullstand/core';
import type {
	pendingAcknowledgements,
	Result,
	membershipStatus,
	viewChange,
} from '@gullstand/core';
import type {StoreError} from '@gullstand/ports';
import type {PeerMethods} from '../peers/peer-methods.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';
import {
	createMemberState,
	type MemberDeps,
	type MemberState,
} from './member-state.js';
import {
	readMembership,
	readMembershipVersion,
	type MembershipRows,
} from './membership-rows.js';
import {
	confirmByList,
	confirmByMajority,
	continueWithoutTable,
} from './outage-confirmation.js';
import {addMemberMethods, sendAcknowledgement} from './member-methods.js';
import {deregister, register, renew} from './register.js';

/** Membership of this entry. */
export type Member = Part & {
	/** True if requests may be dispatched now; asked at each pick. */
	readonly mayRoute: () => boolean;
	/** True if this entry may hold shards and commit changes. */
	readonly mayControl: () => boolean;
	/** The registered entries, read anew when one has joined or left. */
	readonly getMembers: () => MembershipRows;
	readonly getStatus: () => membershipStatus.MembershipStatus;
	/** Acknowledgements that peers have sent here. */
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	/** Puts a new view in force and acknowledges it. */
	readonly acknowledgeView: () => void;
	/** Hands a committed change to every peer and asks to be told. */
	readonly announce: (delta: viewChange.ViewDelta) => void;
	/** The registered entries that have not met a requirement yet. */
	readonly readPendingAcknowledgements: (
		requirement: pendingAcknowledgements.Requirement,
	) => Promise<
		Result<
			readonly pendingAcknowledgements.PendingAcknowledgement[],
			StoreError
		>
	>;
};

const registerRetryMs = 50;

const delay = async (ms: number) =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, ms);
	});

const registerOrStand = async (deps: MemberDeps, state: MemberState) => {
	const outcome = await register(deps, state);
	if (outcome === 'unavailable') {
		await continueWithoutTable(deps, state);
	}
};

const beat = async (deps: MemberDeps, state: MemberState) => {
	if (!state.isRegistered) {
		await registerOrStand(deps, state);
		return;
	}

	await renew(deps, state);
	const ageMs = deps.now() - state.status.confirmedAt;
	if (ageMs > deps.settings.isolationMs / 2) {
		await confirmByMajority(deps, state);
	}
};

/** Reads all registrations, but only when the set of them has changed. */
const refreshMembers = async (deps: MemberDeps, state: MemberState) => {
	const version = await readMembershipVersion(deps.table);
	if (!version.ok || version.value === state.members.version) {
		return;
	}

	const rows = await readMembership(deps.table);
	if (!rows.ok) {
		return;
	}

	state.members = rows.value;
	for (const [entry, {ack}] of state.sponsored) {
		const row = rows.value.registrations.get(entry);
		if (row?.value.acknowledged.incarnation === ack.incarnation) {
			state.sponsored.delete(entry);
		}
	}
};

/** Waits, but does not keep a process alive that has nothing else to do. */
const delayUnlessLast = async (ms: number) =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, ms).unref();
	});

const offerAgainMs = 500;

const offerForMs = 30_000;

/** Offers a change to one peer until it has taken it; polls do the rest. */
const offer = async (
	deps: MemberDeps,
	address: string,
	params: PeerMethods['offerDelta']['params'],
) => {
	const until = deps.now() + offerForMs;
	for (;;) {
		const answer = await deps.peers.call(
			address,
			'offerDelta',
			params,
			deps.callTimeoutMs,
		);
		if (answer.ok || deps.now() + offerAgainMs > until) {
			return;
		}

		await delayUnlessLast(offerAgainMs);
	}
};

const announce = (
	deps: MemberDeps,
	state: MemberState,
	delta: viewChange.ViewDelta,
) => {
	deps.offerDeltas([delta]);
	const awaitedBy = deps.peers.getAddress();
	for (const [entry, {value}] of state.members.registrations) {
		if (entry !== deps.self.entry) {
			void offer(deps, value.address, {delta, awaitedBy});
		}
	}
};

const readLagging = async (
	deps: MemberDeps,
	state: MemberState,
	requirement: pendingAcknowledgements.Requirement,
): Promise<
	Result<readonly pendingAcknowledgements.PendingAcknowledgement[], StoreError>
> => {
	const rows = await readMembership(deps.table);
	return rows.ok
		? core.succeed(
				core.pendingAcknowledgements.listPendingAcknowledgements(
					[...rows.value.registrations.values()].map(({value}) => value),
					state.received,
					requirement,
				),
			)
		: rows;
};

/** Creates the membership of this life. */
export const createMember = (deps: MemberDeps): Member => {
	const state = createMemberState(deps.now());
	const acknowledge = () => {
		sendAcknowledgement(deps, state);
	};

	addMemberMethods(deps, state, acknowledge);
	const mayRoute = () =>
		core.membershipStatus.mayRoute(state.status, deps.settings, deps.now());

	const tickers = [
		createTicker(async () => beat(deps, state), deps.heartbeatMs, Math.random),
		createTicker(
			async () => {
				await confirmByList(deps, state);
				await refreshMembers(deps, state);
			},
			deps.listPollMs,
			Math.random,
		),
		createTicker(
			async () => {
				acknowledge();
			},
			deps.acknowledgeMs,
			Math.random,
		),
	];

	const stop = async () => {
		await Promise.all(tickers.map(async (each) => each.stop()));
		await deregister(deps, state);
	};

	return {
		name: 'membership',
		async start(reportFailure) {
			while (!mayRoute()) {
				await registerOrStand(deps, state);
				await (mayRoute() ? undefined : delay(registerRetryMs));
			}

			await refreshMembers(deps, state);
			for (const ticker of tickers) {
				await ticker.start(reportFailure);
			}
		},
		stop,
		mayRoute,
		mayControl: () =>
			state.isRegistered &&
			core.membershipStatus.mayControl(state.status, deps.settings, deps.now()),
		getMembers: () => state.members,
		getStatus: () => state.status,
		getReceivedAcknowledgements: () => state.received,
		acknowledgeView: acknowledge,
		announce(delta) {
			announce(deps, state, delta);
		},
		readPendingAcknowledgements: async (requirement) =>
			readLagging(deps, state, requirement),
	};
};

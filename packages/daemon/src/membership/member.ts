/**
 * Membership of this entry: registers before it serves, sends one heartbeat for
 * all its pools and shards, acknowledges the view that it routes by, and stops
 * routing when its membership cannot be confirmed.
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
	confirmBySponsor,
	continueWithoutTable,
} from './outage-confirmation.js';
import {addMemberMethods, sendAcknowledgement} from './member-methods.js';
import {deregister, register, renew} from './register.js';

/** Membership of this entry. */
export type Member = Part & {
	/** True if requests may be dispatched now; called at each selection. */
	readonly mayRoute: () => boolean;
	/**
	 * Asks the peers and the list at once whether this entry is still a member;
	 * resolves to `mayRoute`. After an attempt that failed, resolves to false
	 * until the time of the next heartbeat.
	 */
	readonly confirm: () => Promise<boolean>;
	/** True if this entry may hold shards and commit changes. */
	readonly mayControl: () => boolean;
	/** Registered entries, reloaded when one has joined or left. */
	readonly getMembers: () => MembershipRows;
	readonly getStatus: () => membershipStatus.MembershipStatus;
	/** Acknowledgements received from peers. */
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	/** Applies a new view to routing and acknowledges it. */
	readonly acknowledgeView: () => void;
	/** Sends a committed change to every peer and asks for acknowledgements. */
	readonly announce: (delta: viewChange.ViewDelta) => void;
	/** Lists acknowledgements that a requirement still waits for. */
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

const registerOrContinue = async (deps: MemberDeps, state: MemberState) => {
	const outcome = await register(deps, state);
	if (outcome === 'unavailable') {
		await continueWithoutTable(deps, state);
	}
};

const sendHeartbeat = async (deps: MemberDeps, state: MemberState) => {
	if (!state.isRegistered) {
		await registerOrContinue(deps, state);
		return;
	}

	await renew(deps, state);
	const ageMs = deps.now() - state.status.confirmedAt;
	if (ageMs > deps.settings.isolationMs / 2) {
		await confirmByMajority(deps, state);
	}
};

/** Reloads all registrations if the set of them has changed. */
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

/** Waits without keeping the process alive. */
const delayUnref = async (ms: number) =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, ms).unref();
	});

const offerRetryMs = 500;

/** Peers that cannot be reached for this long poll the change instead. */
const offerTimeoutMs = 30_000;

/** Offers a change to one peer, with retries until it answers. */
const offerToPeer = async (
	deps: MemberDeps,
	address: string,
	params: PeerMethods['offerDelta']['params'],
) => {
	const giveUpAt = deps.now() + offerTimeoutMs;
	for (;;) {
		const answer = await deps.peers.call(
			address,
			'offerDelta',
			params,
			deps.callTimeoutMs,
		);
		if (answer.ok || deps.now() + offerRetryMs > giveUpAt) {
			return;
		}

		await delayUnref(offerRetryMs);
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
			void offerToPeer(deps, value.address, {delta, awaitedBy});
		}
	}
};

const readPending = async (
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

const mayRouteNow = ({settings, now}: MemberDeps, {status}: MemberState) =>
	core.membershipStatus.mayRoute(status, settings, now());

/** Asks all that may confirm this entry without the table service. */
const listAttempts = (
	deps: MemberDeps,
	state: MemberState,
): ReadonlyArray<Promise<unknown>> => {
	if (state.isRegistered) {
		return [confirmByMajority(deps, state), confirmByList(deps, state)];
	}

	return state.status.mode === 'sponsored'
		? [confirmBySponsor(deps, state)]
		: [];
};

/** Resolves with the first attempt that confirms this entry, or with the last. */
const confirmWithoutTable = async (deps: MemberDeps, state: MemberState) => {
	const attempts = listAttempts(deps, state);
	await new Promise<void>((resolve) => {
		const resolveIfConfirmed = async (attempt: Promise<unknown>) => {
			await attempt;
			if (mayRouteNow(deps, state)) {
				resolve();
			}
		};

		const resolveAtEnd = async () => {
			await Promise.allSettled(
				attempts.map(async (each) => resolveIfConfirmed(each)),
			);
			resolve();
		};

		void resolveAtEnd();
	});
};

/** Simultaneous calls share an attempt; there is one for each heartbeat. */
const createConfirm = (deps: MemberDeps, state: MemberState) => {
	let attempt: Promise<void> | undefined;
	let nextAttemptAt = Number.NEGATIVE_INFINITY;
	const startAttempt = async () => {
		nextAttemptAt = deps.now() + deps.heartbeatMs;
		await confirmWithoutTable(deps, state);
		attempt = undefined;
	};

	return async (): Promise<boolean> => {
		if (!attempt && !mayRouteNow(deps, state) && deps.now() >= nextAttemptAt) {
			attempt = startAttempt();
		}

		await attempt;
		return mayRouteNow(deps, state);
	};
};

/** Creates the membership of this incarnation. */
export const createMember = (deps: MemberDeps): Member => {
	const state = createMemberState(deps.now());
	const acknowledge = () => {
		sendAcknowledgement(deps, state);
	};

	const confirm = createConfirm(deps, state);
	addMemberMethods(deps, state, {sendAcknowledgement: acknowledge, confirm});
	const mayRoute = () => mayRouteNow(deps, state);

	const tickers = [
		createTicker(
			async () => sendHeartbeat(deps, state),
			deps.heartbeatMs,
			Math.random,
		),
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
				await registerOrContinue(deps, state);
				await (mayRoute() ? undefined : delay(registerRetryMs));
			}

			await refreshMembers(deps, state);
			for (const ticker of tickers) {
				await ticker.start(reportFailure);
			}
		},
		stop,
		mayRoute,
		confirm,
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
			readPending(deps, state, requirement),
	};
};

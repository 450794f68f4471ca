/** Confirms membership while an entry cannot register or renew its row. */
import * as core from '@gullstand/core';
import type {membershipStatus} from '@gullstand/core';
import {createAcknowledgement} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {recordConfirmation} from './register.js';

/** Lists peer addresses of other entries from the platform's list. */
export const listPeerAddresses = async (
	deps: Pick<MemberDeps, 'list' | 'self'>,
): Promise<readonly string[]> => {
	const listed = await deps.list.list();
	return listed.ok
		? listed.value
				.filter(({role, id}) => role === 'entry' && id !== deps.self.entry)
				.map(({address}) => address)
		: [];
};

const setMode = (
	state: MemberState,
	mode: membershipStatus.EntryMode,
	askedAt: number,
) => {
	if (state.status.mode !== mode) {
		state.status = core.membershipStatus.changeMode(mode, askedAt);
	}
};

const requestSponsorship = async (
	deps: MemberDeps,
	state: MemberState,
	address: string,
): Promise<boolean> => {
	const askedAt = deps.now();
	const ack = createAcknowledgement(deps, state);
	const answer = await deps.peers.call(
		address,
		'sponsor',
		ack,
		deps.callTimeoutMs,
	);
	if (!answer.ok || !answer.value.isSponsored) {
		return false;
	}

	const confirmedAt = askedAt - answer.value.confirmedAgeMs;
	setMode(state, 'sponsored', confirmedAt);
	state.sponsorAddress = address;
	recordConfirmation(deps, state, 'sponsor', confirmedAt);
	return true;
};

/** Lists the known sponsor first, as the list may be unavailable as well. */
const listSponsors = async (
	deps: MemberDeps,
	{sponsorAddress}: MemberState,
): Promise<ReadonlySet<string>> => {
	const listed = await listPeerAddresses(deps);
	return new Set([
		...(sponsorAddress === undefined ? [] : [sponsorAddress]),
		...listed,
	]);
};

/** Confirms a sponsored entry by its sponsor or another one. */
export const confirmBySponsor = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<boolean> => {
	for (const address of await listSponsors(deps, state)) {
		if (await requestSponsorship(deps, state, address)) {
			return true;
		}
	}

	return false;
};

/**
 * Looks for a sponsor among the listed peers; if none is reachable, confirms
 * membership by the snapshot. Does nothing until there is a view.
 */
export const continueWithoutTable = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	if (deps.getFollowed().view.revision === 0) {
		return;
	}

	if (await confirmBySponsor(deps, state)) {
		return;
	}

	const askedAt = deps.now();
	if (await deps.confirmSnapshot()) {
		setMode(state, 'snapshot', askedAt);
		recordConfirmation(deps, state, 'snapshot', askedAt);
	}
};

/**
 * Confirms a registered entry if the platform's list shows this incarnation.
 * The list's name for this incarnation is recorded while heartbeats commit.
 */
export const confirmByList = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	const askedAt = deps.now();
	const listed = await deps.list.list();
	if (!listed.ok) {
		return;
	}

	const ownListing = listed.value.find(({id}) => id === deps.self.entry);
	if (askedAt - state.renewedAt < deps.settings.isolationMs / 2) {
		state.listedIncarnation = ownListing?.incarnation;
	} else if (ownListing && ownListing.incarnation === state.listedIncarnation) {
		recordConfirmation(deps, state, 'list', askedAt);
	}
};

/**
 * Confirms by a majority of the quorum in this entry's row and, if a write has
 * an unknown outcome, of that write's quorum as well (spec/forget.pml,
 * `same_quorum`). Asks all peers, and does not wait for more than a majority.
 */
export const confirmByMajority = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	const askedAt = deps.now();
	const quorums = [state.quorum, state.pendingQuorum ?? state.quorum];
	const reached = new Set<string>();
	const isMajority = (quorum: readonly string[]) =>
		quorum.filter((entry) => reached.has(entry)).length * 2 > quorum.length;
	await new Promise<void>((resolve) => {
		const addReached = (entry: string) => {
			reached.add(entry);
			if (quorums.every((quorum) => isMajority(quorum))) {
				recordConfirmation(deps, state, 'majority', askedAt);
				resolve();
			}
		};

		const ping = async (entry: string, address: string) => {
			const answer = await deps.peers.call(
				address,
				'ping',
				{entry: deps.self.entry},
				deps.callTimeoutMs,
			);
			if (answer.ok) {
				addReached(entry);
			}
		};

		addReached(deps.self.entry);
		const pings = [...state.members.registrations]
			.filter(([entry]) => entry !== deps.self.entry)
			.map(async ([entry, {value}]) => ping(entry, value.address));
		const resolveAtEnd = async () => {
			await Promise.all(pings);
			resolve();
		};

		void resolveAtEnd();
	});
};

/** How an entry stands while it cannot register or renew. */
import * as core from '@gullstand/core';
import type {membershipStatus} from '@gullstand/core';
import {createAcknowledgement} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {recordConfirmation} from './register.js';

/** Addresses of other entries, from the platform's list. */
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

const askSponsor = async (
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

/** The sponsor that it has first; the list may be down as well. */
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

/**
 * Looks for a sponsor among the listed peers; with none in reach, stands on
 * the snapshot. Does nothing until there is a view.
 */
export const continueWithoutTable = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	if (deps.getFollowed().view.revision === 0) {
		return;
	}

	for (const address of await listSponsors(deps, state)) {
		if (await askSponsor(deps, state, address)) {
			return;
		}
	}

	const askedAt = deps.now();
	if (await deps.confirmSnapshot()) {
		setMode(state, 'snapshot', askedAt);
		recordConfirmation(deps, state, 'snapshot', askedAt);
	}
};

/**
 * Confirms a registered entry by the list, if it shows this life. Which life
 * the list means is learnt while heartbeats commit.
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

	const shown = listed.value.find(({id}) => id === deps.self.entry);
	if (askedAt - state.renewedAt < deps.settings.isolationMs / 2) {
		state.listedIncarnation = shown?.incarnation;
	} else if (shown && shown.incarnation === state.listedIncarnation) {
		recordConfirmation(deps, state, 'list', askedAt);
	}
};

/**
 * Confirms by more than half of the entries that the own row names, and of
 * those that a row in doubt names (spec/forget.pml, `same_quorum`).
 */
export const confirmByMajority = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	const askedAt = deps.now();
	const {registrations} = state.members;
	const others = [...registrations].filter(
		([entry]) => entry !== deps.self.entry,
	);
	const heard = new Set([deps.self.entry]);
	await Promise.all(
		others.map(async ([entry, {value}]) => {
			const answer = await deps.peers.call(
				value.address,
				'ping',
				{entry: deps.self.entry},
				deps.callTimeoutMs,
			);
			if (answer.ok) {
				heard.add(entry);
			}
		}),
	);
	const quorums = [state.quorum, state.pendingQuorum ?? state.quorum];
	const isMajority = (quorum: readonly string[]) =>
		quorum.filter((entry) => heard.has(entry)).length * 2 > quorum.length;
	if (quorums.every((quorum) => isMajority(quorum))) {
		recordConfirmation(deps, state, 'majority', askedAt);
	}
};

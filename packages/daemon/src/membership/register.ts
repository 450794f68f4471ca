/** Registers this life and renews its row, whatever replies are lost. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {standing} from '@gullstand/core';
import VError from 'verror';
import {createRegistration} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {readRegistration, toWrites} from './membership-rows.js';

/** What became of an attempt. */
export type RegisterOutcome = 'registered' | 'moved-on' | 'unavailable';

/** Takes in a confirmation that was asked for at a time. */
export const confirm = (
	deps: MemberDeps,
	state: MemberState,
	source: standing.ConfirmationSource,
	askedAt: number,
): void => {
	state.standing = core.standing.confirmStanding(
		state.standing,
		source,
		askedAt,
		deps.settings,
	);
};

const readCurrent = async (deps: MemberDeps) => {
	await deps.poll();
	const {counter, entry} = core.agreementTables;
	const row = await deps.table.get(counter, core.singleRowKey);
	const earlier = await deps.table.get(entry, deps.life.entry);
	return row.ok && earlier.ok
		? {counter: row.value, hasEarlier: earlier.value !== undefined}
		: undefined;
};

const setRegistered = (
	deps: MemberDeps,
	state: MemberState,
	version: number,
	askedAt: number,
) => {
	state.rowVersion = version;
	state.isRegistered = true;
	state.renewedAt = askedAt;
	state.standing = core.standing.changeMode('registered', askedAt);
	deps.logger.info('registered', {...deps.life});
};

type OwnRow =
	| {readonly kind: 'own'; readonly version: number}
	| {readonly kind: 'absent' | 'unreadable'}
	| {readonly kind: 'replaced'; readonly incarnation: string};

/** What the row says, such as after a lost reply. */
const readOwnRow = async (deps: MemberDeps): Promise<OwnRow> => {
	const row = await readRegistration(deps.table, deps.life.entry);
	if (!row.ok) {
		return {kind: 'unreadable'};
	}

	if (!row.value) {
		return {kind: 'absent'};
	}

	const {incarnation} = row.value.value.acknowledged;
	return incarnation === deps.life.incarnation
		? {kind: 'own', version: row.value.version}
		: {kind: 'replaced', incarnation};
};

/**
 * Registers while the view is the newest; `moved-on` if it was not.
 * @throws If a later life of this entry has registered.
 */
export const register = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<RegisterOutcome> => {
	if (state.replacedBy !== undefined) {
		throw new VError(
			'life %s of entry %s has taken the place of this one',
			state.replacedBy,
			deps.life.entry,
		);
	}

	const current = await readCurrent(deps);
	if (!current) {
		return 'unavailable';
	}

	const {revision} = deps.getFollowed().view;
	const counterVersion = current.counter?.version;
	const counted = current.counter?.value as {revision?: number} | undefined;
	if ((counted?.revision ?? 0) !== revision) {
		return 'moved-on';
	}

	state.hasReplaced ||= current.hasEarlier;
	const askedAt = deps.now();
	const committed = await deps.table.commit(
		toWrites(
			core.registration.registerEntry(createRegistration(deps, state), {
				revision,
				counterVersion,
			}),
		),
		randomUUID(),
	);
	const row = await readOwnRow(deps);
	if (row.kind === 'own') {
		setRegistered(deps, state, row.version, askedAt);
		return 'registered';
	}

	return !committed.ok && committed.error.kind === 'conflict'
		? 'moved-on'
		: 'unavailable';
};

/** The row is gone: nothing may be routed until it is written anew. */
const lose = (deps: MemberDeps, state: MemberState) => {
	state.isRegistered = false;
	state.standing = core.standing.changeMode(
		'registered',
		Number.NEGATIVE_INFINITY,
	);
	deps.logger.error('registration lost', {...deps.life});
};

/** One heartbeat: acknowledgement, sign of life and confirmation in one. */
export const renew = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	const askedAt = deps.now();
	const committed = await deps.table.commit(
		toWrites(
			core.registration.renewRegistration(
				createRegistration(deps, state),
				state.rowVersion,
			),
		),
		randomUUID(),
	);
	if (committed.ok) {
		state.rowVersion = committed.value.versions[0] ?? state.rowVersion;
		state.renewedAt = askedAt;
		confirm(deps, state, 'table', askedAt);
		return;
	}

	const row = await readOwnRow(deps);
	if (row.kind === 'absent') {
		lose(deps, state);
	} else if (row.kind === 'replaced') {
		lose(deps, state);
		state.replacedBy = row.incarnation;
	} else if (row.kind === 'own' && row.version !== state.rowVersion) {
		state.rowVersion = row.version;
		confirm(deps, state, 'table', askedAt);
	}
};

/** Removes the own row at the end of a graceful stop. */
export const deregister = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	if (!state.isRegistered) {
		return;
	}

	const {entry} = deps.life;
	state.isRegistered = false;
	await deps.table.commit(
		toWrites(core.registration.removeEntry(entry, state.rowVersion, entry)),
		randomUUID(),
	);
};

/** Registers this life and renews its row, whatever replies are lost. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {registration, membershipStatus, StoreWrite} from '@gullstand/core';
import VError from 'verror';
import {createRegistration} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {readMembership, readRegistration, toWrites} from './membership-rows.js';

/** What became of an attempt. */
export type RegisterOutcome = 'registered' | 'moved-on' | 'unavailable';

/** Takes in a confirmation that was asked for at a time. */
export const recordConfirmation = (
	deps: MemberDeps,
	state: MemberState,
	source: membershipStatus.ConfirmationSource,
	askedAt: number,
): void => {
	state.status = core.membershipStatus.confirmMembership(
		state.status,
		source,
		askedAt,
		deps.settings,
	);
};

const readCurrent = async (deps: MemberDeps, state: MemberState) => {
	await deps.poll();
	const {counter} = core.agreementTables;
	const row = await deps.table.get(counter, core.singleRowKey);
	const members = await readMembership(deps.table);
	if (!row.ok || !members.ok) {
		return undefined;
	}

	state.members = members.value;
	const hasEarlier = members.value.registrations.has(deps.self.entry);
	return {counter: row.value, hasEarlier};
};

const setRegistered = (deps: MemberDeps, state: MemberState) => {
	state.isRegistered = true;
	state.status = core.membershipStatus.changeMode(
		'registered',
		state.renewedAt,
	);
	deps.logger.info('registered', {...deps.self});
};

type OwnRow =
	/** Written by a pending write of this life. */
	| {readonly kind: 'own'; readonly version: number; readonly id: string}
	/** Of this life, but it proves nothing. */
	| {readonly kind: 'older'; readonly version: number}
	| {readonly kind: 'absent' | 'unreadable'}
	| {readonly kind: 'replaced'; readonly incarnation: string};

/**
 * What the row says after a lost reply. A read may be old: only a row that
 * carries the operation id of a pending write proves anything.
 */
const readOwnRow = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<OwnRow> => {
	const row = await readRegistration(deps.table, deps.self.entry);
	if (!row.ok) {
		return {kind: 'unreadable'};
	}

	if (!row.value) {
		return {kind: 'absent'};
	}

	const {value, version, operationId: id} = row.value;
	if (version < state.rowVersion) {
		return {kind: 'unreadable'};
	}

	const {incarnation} = value.acknowledged;
	if (incarnation !== deps.self.incarnation) {
		return {kind: 'replaced', incarnation};
	}

	return state.pendingWrites.has(id)
		? {kind: 'own', version, id}
		: {kind: 'older', version};
};

/** Commits the own row; a write without a reply stays pending. */
const commitRow = async (
	deps: MemberDeps,
	state: MemberState,
	row: registration.Registration,
	writes: ReadonlyArray<StoreWrite<unknown>>,
) => {
	const id = randomUUID();
	const isChanged = row.quorum.join(' ') !== state.quorum.join(' ');
	state.pendingQuorum = isChanged ? row.quorum : undefined;
	state.pendingWrites.set(id, {askedAt: deps.now(), quorum: row.quorum});
	const committed = await deps.table.commit(toWrites(writes), id);
	const version = committed.ok ? committed.value.versions[0] : undefined;
	if (version !== undefined) {
		settle(state, id, version);
	} else if (!committed.ok && committed.error.kind !== 'timeout') {
		// Certainly not made.
		state.pendingWrites.delete(id);
		state.pendingQuorum = [...state.pendingWrites.values()].at(-1)?.quorum;
	}

	return committed;
};

/** A pending write has been made: it is the newest, others are over. */
const settle = (state: MemberState, id: string, version: number) => {
	const write = state.pendingWrites.get(id);
	state.rowVersion = version;
	state.quorum = write?.quorum ?? state.quorum;
	state.pendingQuorum = undefined;
	state.pendingWrites.clear();
	state.renewedAt = write?.askedAt ?? state.renewedAt;
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
			deps.self.entry,
		);
	}

	const current = await readCurrent(deps, state);
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
	const row = createRegistration(deps, state);
	const committed = await commitRow(
		deps,
		state,
		row,
		core.registration.registerEntry(row, {revision, counterVersion}),
	);
	if (committed.ok) {
		setRegistered(deps, state);
		return 'registered';
	}

	const own = await readOwnRow(deps, state);
	if (own.kind === 'own') {
		settle(state, own.id, own.version);
		setRegistered(deps, state);
		return 'registered';
	}

	return committed.error.kind === 'conflict' ? 'moved-on' : 'unavailable';
};

/** The row is gone: nothing may be routed until it is written anew. */
const lose = (deps: MemberDeps, state: MemberState) => {
	state.isRegistered = false;
	state.status = core.membershipStatus.changeMode(
		'registered',
		Number.NEGATIVE_INFINITY,
	);
	deps.logger.error('registration lost', {...deps.self});
};

/** One heartbeat: acknowledgement, sign of life and confirmation in one. */
export const renew = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	const row = createRegistration(deps, state);
	const committed = await commitRow(
		deps,
		state,
		row,
		core.registration.renewRegistration(row, state.rowVersion),
	);
	if (committed.ok) {
		recordConfirmation(deps, state, 'table', state.renewedAt);
		return;
	}

	const own = await readOwnRow(deps, state);
	switch (own.kind) {
		case 'absent': {
			lose(deps, state);
			break;
		}

		case 'replaced': {
			lose(deps, state);
			state.replacedBy = own.incarnation;
			break;
		}

		case 'own': {
			settle(state, own.id, own.version);
			recordConfirmation(deps, state, 'table', state.renewedAt);
			break;
		}

		case 'older': {
			// The next heartbeat is conditional on it and so proves itself.
			state.rowVersion = own.version;
			break;
		}

		case 'unreadable':
		// Nothing is known; the standing lapses if it stays so.
	}
};

const isLettingGo = (deps: MemberDeps, state: MemberState): boolean => {
	const {instances} = deps.getFollowed().view;
	const isHolding = [...instances.keys()].some(
		(instance) => deps.getInFlight(instance) > 0,
	);
	return !isHolding && state.sponsored.size === 0;
};

/**
 * Removes the own row at the end of a graceful stop. It stays, and others
 * forget it in time, if requests were cut off that an executor may still run,
 * or if this entry speaks for others.
 */
export const deregister = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<void> => {
	if (!state.isRegistered) {
		return;
	}

	state.isRegistered = false;
	const {entry} = deps.self;
	if (!isLettingGo(deps, state)) {
		deps.logger.warn('registration left behind', {entry});
		return;
	}

	await deps.table.commit(
		toWrites(core.registration.removeEntry(entry, state.rowVersion, entry)),
		randomUUID(),
	);
};

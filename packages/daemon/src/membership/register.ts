/** Registers this incarnation and renews its row; tolerates lost replies. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {registration, membershipStatus, StoreWrite} from '@gullstand/core';
import VError from 'verror';
import {createRegistration} from './acknowledge.js';
import type {MemberDeps, MemberState} from './member-state.js';
import {readMembership, readRegistration, toWrites} from './membership-rows.js';

/** Outcome of a registration attempt. */
export type RegisterOutcome = 'registered' | 'moved-on' | 'unavailable';

/** Records a confirmation, valid from the time it was requested. */
export const recordConfirmation = (
	deps: MemberDeps,
	state: MemberState,
	source: membershipStatus.ConfirmationSource,
	askedAt: number,
): void => {
	state.status = core.membershipStatus.confirmMembership(
		state.status,
		source,
		{askedAt, answeredAt: deps.now()},
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
	/** Written by a pending write of this incarnation. */
	| {readonly kind: 'own'; readonly version: number; readonly id: string}
	/** Written by this incarnation, but not by a pending write. */
	| {readonly kind: 'older'; readonly version: number}
	| {readonly kind: 'absent' | 'unreadable'}
	| {readonly kind: 'replaced'; readonly incarnation: string};

/**
 * Reads this entry's row after a lost reply. The read may be stale: only a row
 * with the operation id of a pending write proves that the write committed.
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

/** Commits this entry's row; a write without a reply stays pending. */
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
		completeWrite(state, id, version);
	} else if (!committed.ok && committed.error.kind !== 'timeout') {
		// The write certainly did not commit.
		state.pendingWrites.delete(id);
		state.pendingQuorum = [...state.pendingWrites.values()].at(-1)?.quorum;
	}

	return committed;
};

/** Records that a pending write committed, which ends all others. */
const completeWrite = (state: MemberState, id: string, version: number) => {
	const write = state.pendingWrites.get(id);
	state.rowVersion = version;
	state.quorum = write?.quorum ?? state.quorum;
	state.pendingQuorum = undefined;
	state.pendingWrites.clear();
	state.renewedAt = write?.askedAt ?? state.renewedAt;
};

/**
 * Registers if the view is the newest; `moved-on` if it is not.
 * @throws If a later incarnation of this entry has registered.
 */
export const register = async (
	deps: MemberDeps,
	state: MemberState,
): Promise<RegisterOutcome> => {
	if (state.replacedBy !== undefined) {
		throw new VError(
			'incarnation %s of entry %s has taken the place of this one',
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
	const counterValue = current.counter?.value as
		{revision?: number} | undefined;
	if ((counterValue?.revision ?? 0) !== revision) {
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

	const ownRow = await readOwnRow(deps, state);
	if (ownRow.kind === 'own') {
		completeWrite(state, ownRow.id, ownRow.version);
		setRegistered(deps, state);
		return 'registered';
	}

	return committed.error.kind === 'conflict' ? 'moved-on' : 'unavailable';
};

/** Stops routing after the row was removed, until it is written again. */
const loseRegistration = (deps: MemberDeps, state: MemberState) => {
	state.isRegistered = false;
	state.status = core.membershipStatus.changeMode(
		'registered',
		Number.NEGATIVE_INFINITY,
	);
	deps.logger.error('registration lost', {...deps.self});
};

/** Sends one heartbeat, which renews the row and confirms membership. */
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

	const ownRow = await readOwnRow(deps, state);
	switch (ownRow.kind) {
		case 'absent': {
			loseRegistration(deps, state);
			break;
		}

		case 'replaced': {
			loseRegistration(deps, state);
			state.replacedBy = ownRow.incarnation;
			break;
		}

		case 'own': {
			completeWrite(state, ownRow.id, ownRow.version);
			recordConfirmation(deps, state, 'table', state.renewedAt);
			break;
		}

		case 'older': {
			// The next heartbeat is conditional on this version.
			state.rowVersion = ownRow.version;
			break;
		}

		case 'unreadable':
		// The outcome is unknown; the confirmation expires if it stays so.
	}
};

const mayDeregister = (deps: MemberDeps, state: MemberState): boolean => {
	const {instances} = deps.getFollowed().view;
	const isHolding = [...instances.keys()].some(
		(instance) => deps.getInFlight(instance) > 0,
	);
	return !isHolding && state.sponsored.size === 0;
};

/**
 * Removes this entry's row at the end of a graceful stop. If executors may
 * still run its requests or it sponsors others, the row stays until peers
 * forget the entry.
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
	if (!mayDeregister(deps, state)) {
		deps.logger.warn('registration kept after stop', {entry});
		return;
	}

	await deps.table.commit(
		toWrites(core.registration.removeEntry(entry, state.rowVersion, entry)),
		randomUUID(),
	);
};

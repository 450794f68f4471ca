/**
 * Limits of one pool on one entry: its borrower and, while this entry is
 * picked for it, the pool's credit coordinator. Messages for other entries are
 * returned; those for the entry itself are handled at once.
 */
import type {Borrower, PoolMembers} from './borrower.js';
import * as borrowers from './borrower.js';
import type {CreditCoordinator} from './coordinator-ledger.js';
import * as coordinators from './coordinator.js';
import type {CreditGrant, CreditReport, CreditSettings} from './messages.js';

/** A message between entries. */
export type CreditMessage =
	| {readonly kind: 'report'; readonly report: CreditReport}
	| {readonly kind: 'grant'; readonly grant: CreditGrant};

/** A message and its destination entry. */
export type CreditEnvelope = {
	readonly to: string;
	readonly message: CreditMessage;
};

/** State of one pool on one entry. */
export type PoolLimits = {
	readonly pool: string;
	readonly self: string;
	readonly settings: CreditSettings;
	readonly borrower: Borrower;
	coordinator: CreditCoordinator | undefined;
	coordinatorStarts: number;
};

/** Creates the state; call `updatePool` with the first members. */
export const createPoolLimits = (
	pool: string,
	self: string,
	settings: CreditSettings,
	now: number,
): PoolLimits => ({
	pool,
	self,
	settings,
	borrower: borrowers.createBorrower(pool, self, settings, now),
	coordinator: undefined,
	coordinatorStarts: 0,
});

const deliverGrants = (
	limits: PoolLimits,
	outgoing: readonly coordinators.Outgoing[],
	now: number,
): readonly CreditEnvelope[] => {
	const remote: CreditEnvelope[] = [];
	for (const {to, grant} of outgoing) {
		if (to === limits.self) {
			borrowers.receiveGrant(limits.borrower, grant, now);
		} else {
			remote.push({to, message: {kind: 'grant', grant}});
		}
	}

	return remote;
};

/** Handles a message; reports are ignored unless this entry coordinates. */
export const receiveMessage = (
	limits: PoolLimits,
	message: CreditMessage,
	now: number,
): readonly CreditEnvelope[] => {
	switch (message.kind) {
		case 'grant': {
			borrowers.receiveGrant(limits.borrower, message.grant, now);
			return [];
		}

		case 'report': {
			return limits.coordinator
				? deliverGrants(
						limits,
						coordinators.receiveReport(limits.coordinator, message.report, now),
						now,
					)
				: [];
		}
	}
};

/** Upper bound of rounds between borrower and coordinator of one entry. */
const maxRounds = 4;

/**
 * Sends a report if the borrower has changed. Call after every change, once
 * all requests that can be dispatched have been.
 */
export const flushReport = (
	limits: PoolLimits,
	waitingDeadlines: readonly number[],
	now: number,
): readonly CreditEnvelope[] => {
	const {borrower, self} = limits;
	const remote: CreditEnvelope[] = [];
	for (let round = 0; borrower.dirty && round < maxRounds; round++) {
		if (borrower.coordinator === undefined) {
			return remote;
		}

		const report = borrowers.createReport(borrower, waitingDeadlines, now);
		const message = {kind: 'report', report} as const;
		if (borrower.coordinator === self) {
			remote.push(...receiveMessage(limits, message, now));
		} else {
			remote.push({to: borrower.coordinator, message});
		}
	}

	return remote;
};

/** Applies changed members; starts or resigns the coordinator. */
export const updatePool = (
	limits: PoolLimits,
	members: PoolMembers,
	now: number,
) => {
	const {pool, self, settings, borrower, coordinator} = limits;
	const isCoordinator = borrowers.pickCoordinator(pool, self, members) === self;
	const handover =
		coordinator && !isCoordinator
			? coordinators.resignCoordinator(coordinator, members, now)
			: undefined;
	if (!isCoordinator) {
		limits.coordinator = undefined;
	} else if (!coordinator) {
		limits.coordinatorStarts++;
		const term = `${self}:${limits.coordinatorStarts}`;
		limits.coordinator = coordinators.createCoordinator(
			pool,
			{self, term},
			settings,
			now,
		);
	}

	if (limits.coordinator) {
		coordinators.updateCoordinator(limits.coordinator, members, now);
	}

	borrowers.updateMembers(borrower, members, now, handover);
};

/** Call at least once per heartbeat; returns the messages to send. */
export const tickPool = (
	limits: PoolLimits,
	now: number,
): readonly CreditEnvelope[] => {
	borrowers.updateBorrower(limits.borrower, now);
	return limits.coordinator
		? deliverGrants(
				limits,
				coordinators.decideGrants(limits.coordinator, now),
				now,
			)
		: [];
};

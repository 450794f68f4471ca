/**
 * Limits of one pool on one entry: its borrower and, while this entry is the
 * pool's home, the home. The daemon and the bench both drive these functions;
 * messages for other entries are returned, those for the entry itself are
 * handled at once.
 */
import type {Borrower, PoolMembers} from './borrower.js';
import * as borrowers from './borrower.js';
import type {CreditCoordinator} from './coordinator-ledger.js';
import * as homes from './coordinator.js';
import type {CreditGrant, CreditReport, CreditSettings} from './messages.js';

/** A message between entries. */
export type CreditMessage =
	| {readonly kind: 'report'; readonly report: CreditReport}
	| {readonly kind: 'grant'; readonly grant: CreditGrant};

/** A message and the entry that it goes to. */
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

/** Starts without a home; call `updatePool` with the first members. */
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
	outgoing: readonly homes.Outgoing[],
	now: number,
): readonly CreditEnvelope[] => {
	const away: CreditEnvelope[] = [];
	for (const {to, grant} of outgoing) {
		if (to === limits.self) {
			borrowers.receiveGrant(limits.borrower, grant, now);
		} else {
			away.push({to, message: {kind: 'grant', grant}});
		}
	}

	return away;
};

/** Takes in a message; one that is not for this entry's role is dropped. */
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
						homes.receiveReport(limits.coordinator, message.report, now),
						now,
					)
				: [];
		}
	}
};

/** More rounds than a session on the entry itself ever needs. */
const maxRounds = 4;

/**
 * Sends the report if there is something to tell. Call after every change,
 * once what can be dispatched has been.
 */
export const flushReport = (
	limits: PoolLimits,
	waitingDeadlines: readonly number[],
	now: number,
): readonly CreditEnvelope[] => {
	const {borrower, self} = limits;
	const away: CreditEnvelope[] = [];
	for (let round = 0; borrower.dirty && round < maxRounds; round++) {
		if (borrower.coordinator === undefined) {
			return away;
		}

		const report = borrowers.createReport(borrower, waitingDeadlines, now);
		const message = {kind: 'report', report} as const;
		if (borrower.coordinator === self) {
			away.push(...receiveMessage(limits, message, now));
		} else {
			away.push({to: borrower.coordinator, message});
		}
	}

	return away;
};

/** Takes over new knowledge of the fleet; starts or resigns the home. */
export const updatePool = (
	limits: PoolLimits,
	members: PoolMembers,
	now: number,
) => {
	const {pool, self, settings, borrower, coordinator} = limits;
	const isHome = borrowers.pickCoordinator(pool, self, members) === self;
	const inherited =
		coordinator && !isHome
			? homes.resignCoordinator(coordinator, members, now)
			: undefined;
	if (!isHome) {
		limits.coordinator = undefined;
	} else if (!coordinator) {
		limits.coordinatorStarts++;
		const term = `${self}:${limits.coordinatorStarts}`;
		limits.coordinator = homes.createCoordinator(
			pool,
			{self, term},
			settings,
			now,
		);
	}

	if (limits.coordinator) {
		homes.updateCoordinator(limits.coordinator, members, now);
	}

	borrowers.updateMembers(borrower, members, now, inherited);
};

/** Called once a heartbeat or more often; returns what is to be sent. */
export const tickPool = (
	limits: PoolLimits,
	now: number,
): readonly CreditEnvelope[] => {
	borrowers.updateBorrower(limits.borrower, now);
	return limits.coordinator
		? deliverGrants(limits, homes.decideGrants(limits.coordinator, now), now)
		: [];
};

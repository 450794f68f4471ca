/**
 * Advances moves of the shards that this entry holds: waits for every
 * registered entry, finishes the drain, and adds the instance to its new pool.
 */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import type {
	followedView,
	pendingAcknowledgements,
	move,
	shardLease,
	viewChange,
} from '@gullstand/core';
import type {TableService} from '@gullstand/ports';
import type {Logger} from '../log/logger.js';
import {readMembership} from '../membership/membership-rows.js';
import type {Part} from '../supervisor/supervisor.js';
import {createTicker} from '../view/ticker.js';
import {commitStep, readInstance, readMoves} from './move-rows.js';

/** Dependencies of the move runner. */
export type MoveRunnerDeps = {
	readonly table: TableService;
	/** Returns the lease for moving an instance, if this entry holds it. */
	readonly getHeldFor: (instance: string) => shardLease.HeldShard | undefined;
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	readonly getFollowed: () => followedView.FollowedView;
	/** Reads what is known of entries that start during an outage. */
	readonly readOutageStart: () => Promise<move.OutageStart>;
	/** Notifies peers of a committed change. */
	readonly announce: (delta: viewChange.ViewDelta) => void;
	readonly pollMs: number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

/** The move runner. */
export type MoveRunner = Part & {
	/** Returns the latest step of each move, by instance. */
	readonly getLastSteps: () => ReadonlyMap<string, move.MoveStep>;
};

const deleteMove = async (
	{table}: MoveRunnerDeps,
	{value, version}: move.ReadRow<move.Move>,
) => {
	await table.commit(
		[
			{
				kind: 'delete',
				table: core.agreementTables.move,
				key: value.instance,
				when: {kind: 'version', version},
			},
		],
		randomUUID(),
	);
};

const readMembershipForMoves = async (
	deps: MoveRunnerDeps,
): Promise<move.MembershipRead | undefined> => {
	const outageStart = await deps.readOutageStart();
	const rows = await readMembership(deps.table);
	return rows.ok
		? {
				version: rows.value.version,
				registrations: [...rows.value.registrations.values()].map(
					({value}) => value,
				),
				received: deps.getReceivedAcknowledgements(),
				outageStart,
			}
		: undefined;
};

const advance = async (
	deps: MoveRunnerDeps,
	row: move.ReadRow<move.Move>,
	membership: move.MembershipRead,
	held: shardLease.HeldShard,
): Promise<move.MoveStep | undefined> => {
	const instance = await readInstance(deps.table, row.value.instance);
	if (!instance.ok) {
		return undefined;
	}

	const step = core.move.decideMove(row, instance.value, membership, held);
	if (step.kind === 'superseded') {
		await deleteMove(deps, row);
	} else if (step.kind === 'commit') {
		const {author} = row.value;
		const known = deps.getFollowed();
		const committed = await commitStep(deps.table, step, {author, known});
		if (committed.ok) {
			deps.announce(committed.value);
			deps.logger.info(step.transition, {instance: step.instance.id});
		}
	}

	return step;
};

/** True if the view shows an instance that may be moving. */
const mayBeMoving = ({getFollowed, getHeldFor}: MoveRunnerDeps): boolean => {
	for (const {id, state} of getFollowed().view.instances.values()) {
		if ((state === 'draining' || state === 'away') && getHeldFor(id)) {
			return true;
		}
	}

	return false;
};

const runOnce = async (
	deps: MoveRunnerDeps,
	lastSteps: Map<string, move.MoveStep>,
) => {
	lastSteps.clear();
	const moves = mayBeMoving(deps) ? await readMoves(deps.table) : undefined;
	if (!moves?.ok) {
		return;
	}

	const own = moves.value.filter(({value}) => deps.getHeldFor(value.instance));
	const membership =
		own.length > 0 ? await readMembershipForMoves(deps) : undefined;
	if (!membership) {
		return;
	}

	for (const row of own) {
		const {instance} = row.value;
		const held = deps.getHeldFor(instance);
		const step = held && (await advance(deps, row, membership, held));
		if (step) {
			lastSteps.set(instance, step);
		}
	}
};

export const createMoveRunner = (deps: MoveRunnerDeps): MoveRunner => {
	const lastSteps = new Map<string, move.MoveStep>();
	const ticker = createTicker(
		async () => runOnce(deps, lastSteps),
		deps.pollMs,
		Math.random,
	);
	return {
		name: 'moves',
		start: ticker.start,
		stop: ticker.stop,
		getLastSteps: () => lastSteps,
	};
};

/**
 * Carries moves on, as a part, for the shards that this entry holds: waits
 * for every registered entry, ends the drain, puts the instance in its pool.
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

/** What the move runner needs. */
export type MoveRunnerDeps = {
	readonly table: TableService;
	/** The lease under which an instance is moved, if it is held here. */
	readonly getHeldFor: (instance: string) => shardLease.HeldShard | undefined;
	readonly getReceivedAcknowledgements: () => pendingAcknowledgements.ReceivedAcknowledgements;
	readonly getFollowed: () => followedView.FollowedView;
	/** What is known of entries that start in an outage. */
	readonly readOutageStart: () => Promise<move.OutageStart>;
	/** Tells peers of a committed change. */
	readonly announce: (delta: viewChange.ViewDelta) => void;
	readonly pollMs: number;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
};

/** The move runner and what each move waits for. */
export type MoveRunner = Part & {
	readonly getLastSteps: () => ReadonlyMap<string, move.MoveStep>;
};

const dropMove = async (
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

const readMembershipFor = async (
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
		await dropMove(deps, row);
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

/** The view tells whether a read of the move rows can be of use. */
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
	waits: Map<string, move.MoveStep>,
) => {
	waits.clear();
	const moves = mayBeMoving(deps) ? await readMoves(deps.table) : undefined;
	if (!moves?.ok) {
		return;
	}

	const own = moves.value.filter(({value}) => deps.getHeldFor(value.instance));
	const membership = own.length > 0 ? await readMembershipFor(deps) : undefined;
	if (!membership) {
		return;
	}

	for (const row of own) {
		const {instance} = row.value;
		const held = deps.getHeldFor(instance);
		const step = held && (await advance(deps, row, membership, held));
		if (step) {
			waits.set(instance, step);
		}
	}
};

/** Creates the move runner. */
export const createMoveRunner = (deps: MoveRunnerDeps): MoveRunner => {
	const waits = new Map<string, move.MoveStep>();
	const ticker = createTicker(
		async () => runOnce(deps, waits),
		deps.pollMs,
		Math.random,
	);
	return {
		name: 'moves',
		start: ticker.start,
		stop: ticker.stop,
		getLastSteps: () => waits,
	};
};

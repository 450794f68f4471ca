/** Handlers of moves of instances: start, cancel and list. */
import {z} from 'zod';
import * as core from '@gullstand/core';
import type {errors, move, View, viewChange} from '@gullstand/core';
import type {ListedInstance, StoreError} from '@gullstand/ports';
import {commitStep, readInstance, readMoves} from '../../moves/move-rows.js';
import {counterRow} from '../../view/tables.js';
import {
	answerError,
	answerStoreError,
	readJson,
	type OperatorContext,
} from '../objects/answers.js';
import {readRegistrations} from '../objects/in-force.js';
import type {OperatorApp, OperatorDeps} from '../types.js';
import {findLeaveProblems, type LiveInstances} from './move-checks.js';

const moveRequest = z.strictObject({to: z.string().min(1).max(63)});

const maxCommitAttempts = 20;

type Decision =
	| {readonly kind: 'step'; readonly step: move.MoveCommit}
	| {readonly kind: 'answer'; readonly answer: Response};

const refuse = (
	kind: errors.ErrorKind,
	more?: Readonly<Record<string, unknown>>,
): Decision => ({kind: 'answer', answer: answerError(kind, more)});

const refuseByStore = (error: StoreError): Decision => ({
	kind: 'answer',
	answer: answerStoreError(error),
});

const refusals: Readonly<Record<move.MoveRefusal['kind'], string>> = {
	'same-pool': 'is in that pool already',
	'not-serving': 'is not serving',
	'already-moving': 'is moving already',
};

type StartRequest = {
	readonly id: string;
	readonly to: string;
	readonly author: string;
};

const getLive = (listed: readonly ListedInstance[]): LiveInstances =>
	new Set(listed.filter(({state}) => state === 'live').map(({id}) => id));

const decideStart = async (
	{table, list}: OperatorDeps,
	{id, to, author}: StartRequest,
	view: View,
): Promise<Decision> => {
	const instance = await readInstance(table, id);
	const row = await table.get(core.agreementTables.move, id);
	if (!instance.ok || !row.ok) {
		return refuseByStore({kind: 'unavailable'});
	}

	if (!instance.value) {
		return refuse('not-found');
	}

	const step = core.move.startMove({
		instance: instance.value,
		to,
		author,
		revision: view.revision + 1,
		isMoving: row.value !== undefined,
	});
	if (!step.ok) {
		const message = refusals[step.error.kind];
		return refuse('bad-request', {faults: [{field: 'instance', message}]});
	}

	const listed = await list?.list();
	if (listed && !listed.ok) {
		return refuseByStore({kind: 'unavailable'});
	}

	const live = listed && getLive(listed.value);
	const problems = findLeaveProblems(view, instance.value.value, live);
	return problems.length > 0
		? refuse('promise-impossible', {problems})
		: {kind: 'step', step: step.value};
};

const decideCancel = async (
	{table}: OperatorDeps,
	id: string,
): Promise<Decision> => {
	const instance = await readInstance(table, id);
	const moves = await readMoves(table);
	if (!instance.ok || !moves.ok) {
		return refuseByStore({kind: 'unavailable'});
	}

	const found = moves.value.find(({value}) => value.instance === id);
	const step = found && core.move.cancelMove(found, instance.value);
	return step?.kind === 'commit' ? {kind: 'step', step} : refuse('not-found');
};

/** Decides a move on the newest view and commits it, again after conflicts. */
const applyMove = async (
	c: OperatorContext,
	deps: OperatorDeps,
	decide: (view: View) => Promise<Decision>,
): Promise<Response> => {
	const {name: author} = c.get('operator');
	for (let attempts = 0; attempts < maxCommitAttempts; attempts += 1) {
		await deps.poll();
		const known = deps.getFollowed();
		const decision = await decide(known.view);
		if (decision.kind === 'answer') {
			return decision.answer;
		}

		const committed = await commitStep(deps.table, decision.step, {
			author,
			known,
			mustBeNewest: true,
		});
		if (committed.ok) {
			return answerMoved(c, deps, committed.value, decision.step);
		}

		const {error} = committed;
		if (error.kind !== 'conflict' || error.table !== counterRow.table) {
			return answerStoreError(error);
		}
	}

	return answerError('store-unavailable');
};

const answerMoved = async (
	c: OperatorContext,
	deps: OperatorDeps,
	delta: viewChange.ViewDelta,
	step: move.MoveCommit,
) => {
	await deps.onCommitted(delta);
	const {instance, transition} = step;
	return c.json({revision: delta.revision, transition, instance});
};

/** Lists the moves in progress with entries yet to acknowledge the drain. */
const listMoves = async (c: OperatorContext, deps: OperatorDeps) => {
	const moves = await readMoves(deps.table);
	const rows = await readRegistrations(deps.table);
	if (!moves.ok || !rows.ok) {
		return answerStoreError({kind: 'unavailable'});
	}

	const registrations = rows.value.map(({registration}) => registration);
	return c.json({
		moves: moves.value.map(({value}) => ({
			...value,
			lagging: core.pendingAcknowledgements.listPendingAcknowledgements(
				registrations,
				deps.getReceivedAcknowledgements(),
				{
					revision: value.drainRevision,
					instance: value.instance,
				},
			),
		})),
	});
};

/** Registers the handlers of moves. */
export const registerMoves = (app: OperatorApp, deps: OperatorDeps) => {
	const path = '/v1/instances/:key/move';
	app.get('/v1/moves', async (c) => listMoves(c, deps));
	app.post(path, async (c) => {
		const parsed = moveRequest.safeParse(await readJson(c));
		if (!parsed.success) {
			return answerError('bad-request', {
				faults: [{field: 'to', message: 'names the new pool'}],
			});
		}

		const {name: author} = c.get('operator');
		const id = c.req.param('key');
		const startRequest = {id, to: parsed.data.to, author};
		return applyMove(c, deps, async (view) =>
			decideStart(deps, startRequest, view),
		);
	});
	app.delete(path, async (c) =>
		applyMove(c, deps, async () => decideCancel(deps, c.req.param('key'))),
	);
};

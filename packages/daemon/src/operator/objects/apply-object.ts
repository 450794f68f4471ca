/** Commits a change of one object and optionally waits until it is in force. */
import {randomUUID} from 'node:crypto';
import type {errors, View, viewChange} from '@gullstand/core';
import type {Precondition} from '@gullstand/ports';
import {commitChange, type CommittedChange} from '../../view/commit-change.js';
import {counterRow, toJson} from '../../view/tables.js';
import type {OperatorDeps} from '../types.js';
import {
	answerError,
	answerStoreError,
	type OperatorContext,
} from './answers.js';
import {findProblems} from './find-problems.js';
import {waitInForce} from './in-force.js';
import type {ObjectDomain} from './types.js';
import {formatEtag} from './preconditions.js';

/** A requested change; an undefined value deletes the object. */
export type ObjectChange<Value> = {
	readonly key: string;
	readonly value: Value | undefined;
	readonly when: Precondition;
};

const maxWaitMs = 60_000;

const maxCommitAttempts = 20;

type Decision<Value> =
	| {readonly kind: 'refused'; readonly answer: Response}
	| {
			readonly kind: 'accepted';
			readonly value: Value | undefined;
			readonly viewChange: viewChange.ViewChange;
	  };

const refuse = (
	kind: errors.ErrorKind,
	more?: Readonly<Record<string, unknown>>,
) => ({kind: 'refused', answer: answerError(kind, more)}) as const;

/** Decides by the given view whether the change is allowed. */
const decide = <Value>(
	view: View,
	domain: ObjectDomain<Value>,
	{key, value}: ObjectChange<Value>,
): Decision<Value> => {
	const current = domain.getAll(view).get(key);
	if (value === undefined) {
		if (current === undefined) {
			return refuse('not-found');
		}

		const faults = domain.checkDelete?.(current) ?? [];
		return faults.length > 0
			? refuse('bad-request', {faults})
			: {kind: 'accepted', value, viewChange: domain.createDelete(key)};
	}

	const prepared = domain.prepare?.(value, current);
	if (prepared && !prepared.ok) {
		return refuse('bad-request', {faults: prepared.error});
	}

	const stored = prepared ? prepared.value : value;
	return {
		kind: 'accepted',
		value: stored,
		viewChange: domain.createPut(stored),
	};
};

const readWaitMs = (c: OperatorContext): number | undefined => {
	const text = c.req.query('wait');
	const waitMs = text === undefined ? undefined : Number(text);
	return waitMs !== undefined && Number.isFinite(waitMs)
		? Math.min(maxWaitMs, Math.max(0, waitMs))
		: undefined;
};

const accepted = 202;

const answerCommitted = async (
	c: OperatorContext,
	deps: OperatorDeps,
	{revision, versions, delta}: CommittedChange,
	body: Readonly<Record<string, unknown>>,
) => {
	await deps.onCommitted(delta);
	const [version] = versions;
	if (version !== undefined) {
		c.header('etag', formatEtag(version));
	}

	const waitMs = readWaitMs(c);
	if (waitMs === undefined) {
		return c.json({revision, ...body});
	}

	const state = await waitInForce(deps, revision, waitMs);
	return c.json(
		{revision, ...body, ...state},
		state.isInForce ? 200 : accepted,
	);
};

/**
 * Decides a change on the newest view and commits it, again after each
 * concurrent commit of another change. A concurrent change of the same object
 * is answered as a conflict with the current value.
 */
export const applyObject = async <Value>(
	c: OperatorContext,
	deps: OperatorDeps,
	domain: ObjectDomain<Value>,
	change: ObjectChange<Value>,
): Promise<Response> => {
	const operationId = randomUUID();
	const author = c.get('operator').name;
	for (let attempts = 0; attempts < maxCommitAttempts; attempts += 1) {
		await deps.poll();
		const known = deps.getFollowed();
		const decision = decide(known.view, domain, change);
		if (decision.kind === 'refused') {
			return decision.answer;
		}

		const problems = findProblems(known.view, decision.viewChange);
		if (problems.length > 0) {
			return answerError('promise-impossible', {problems});
		}

		const {value} = decision;
		const committed = await commitChange(
			deps.table,
			[
				{
					table: domain.name,
					key: change.key,
					value: value === undefined ? undefined : toJson(value),
					when: change.when,
				},
			],
			operationId,
			{author, known, mustBeNewest: true, env: deps.env},
		);
		if (committed.ok) {
			const body = {[domain.name]: value ?? null};
			return answerCommitted(c, deps, committed.value, body);
		}

		const {error} = committed;
		if (error.kind !== 'conflict' || error.table !== counterRow.table) {
			return answerStoreError(error, {operationId});
		}
	}

	return answerError('store-unavailable');
};

/** Handlers of the change history, newest first. */
import type {viewChange} from '@gullstand/core';
import {readChanges} from '../../view/tables.js';
import {answerError, answerStoreError} from '../objects/answers.js';
import {checkInForce, waitInForce} from '../objects/in-force.js';
import type {OperatorApp, OperatorDeps} from '../types.js';

const maxLimit = 200;

const defaultLimit = 50;

const maxWaitMs = 60_000;

/** Most pages read to find changes of one object or operation. */
const maxPages = 10;

type Filter = {
	/** Object name, such as `contract/brokers`. */
	readonly object: string | undefined;
	/** Operation id. */
	readonly id: string | undefined;
};

/** Returns the name of a changed object, such as `contract/brokers`. */
export const getObjectName = (change: viewChange.ViewChange): string => {
	switch (change.kind) {
		case 'put-contract': {
			return `contract/${change.contract.customer}`;
		}

		case 'delete-contract': {
			return `contract/${change.customer}`;
		}

		case 'put-service': {
			return `service/${change.service.name}`;
		}

		case 'delete-service': {
			return `service/${change.name}`;
		}

		case 'put-instance': {
			return `instance/${change.instance.id}`;
		}

		case 'delete-instance': {
			return `instance/${change.id}`;
		}
	}
};

const matchesFilter = (delta: viewChange.ViewDelta, {object, id}: Filter) =>
	(id === undefined || delta.id === id) &&
	(object === undefined ||
		delta.changes.some((change) => getObjectName(change) === object));

/** Reads matching changes before a revision, newest first, in pages. */
const findChanges = async (
	deps: OperatorDeps,
	before: number,
	limit: number,
	filter: Filter,
) => {
	const found: viewChange.ViewDelta[] = [];
	let upTo = before - 1;
	for (let page = 0; page < maxPages && upTo > 0; page += 1) {
		const after = Math.max(0, upTo - maxLimit);
		const read = await readChanges(deps.table, after, upTo - after);
		if (!read.ok) {
			return read;
		}

		found.push(
			...read.value
				.toReversed()
				.filter((delta) => matchesFilter(delta, filter)),
		);
		upTo = after;
		if (found.length >= limit) {
			break;
		}
	}

	return {ok: true, value: found.slice(0, limit)} as const;
};

const readNumber = (text: string | undefined, otherwise: number): number => {
	const number = text === undefined ? otherwise : Number(text);
	return Number.isSafeInteger(number) && number >= 0 ? number : otherwise;
};

/** Registers the handlers of this domain. */
export const registerChanges = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/changes', async (c) => {
		await deps.poll();
		const newest = deps.getView().revision;
		const before = readNumber(c.req.query('before'), newest + 1);
		const limit = readNumber(c.req.query('limit'), defaultLimit);
		const read = await findChanges(deps, before, Math.min(limit, maxLimit), {
			object: c.req.query('object'),
			id: c.req.query('id'),
		});
		return read.ok
			? c.json({changes: read.value, revision: newest})
			: answerStoreError(read.error);
	});
	app.get('/v1/changes/:revision', async (c) => {
		const revision = readNumber(c.req.param('revision'), 0);
		const read = await readChanges(deps.table, revision - 1, 1);
		if (!read.ok) {
			return answerStoreError(read.error);
		}

		const [change] = read.value;
		if (change?.revision !== revision) {
			return answerError('not-found');
		}

		const waitMs = Math.min(maxWaitMs, readNumber(c.req.query('wait'), 0));
		const state = await (waitMs > 0
			? waitInForce(deps, revision, waitMs)
			: checkInForce(deps, revision));
		return c.json({change, ...state});
	});
};

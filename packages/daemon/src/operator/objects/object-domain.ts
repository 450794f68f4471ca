/**
 * HTTP handlers for one kind of object of the view: list, show, diff, put by
 * compare-and-set, delete.
 */
import {toJson} from '../../view/tables.js';
import type {OperatorApp, OperatorDeps} from '../types.js';
import {
	answerError,
	answerStoreError,
	readJson,
	type OperatorContext,
} from './answers.js';
import {applyObject} from './apply-object.js';
import {diffFields} from './diff-fields.js';
import {findProblems} from './find-problems.js';
import {formatEtag, readPrecondition} from './preconditions.js';
import type {ObjectDomain} from './types.js';

const getKeyParameter = (c: OperatorContext): string =>
	c.req.param('key') ?? '';

/** Reads and validates the body; its key must equal that of the path. */
const readValue = async <Value>(
	c: OperatorContext,
	domain: ObjectDomain<Value>,
): Promise<Value | Response> => {
	const parsed = domain.schema.safeParse(await readJson(c));
	if (!parsed.success) {
		const faults = parsed.error.issues.map(({path, message}) => ({
			field: path.join('.'),
			message,
		}));
		return answerError('bad-request', {faults});
	}

	return domain.getKey(parsed.data) === getKeyParameter(c)
		? parsed.data
		: answerError('bad-request', {
				faults: [{field: 'key', message: 'differs from the path'}],
			});
};

/** Returns the stored row, or the object of the view if the store fails. */
const showObject = async <Value>(
	c: OperatorContext,
	deps: OperatorDeps,
	domain: ObjectDomain<Value>,
) => {
	const key = getKeyParameter(c);
	const row = await deps.table.get(domain.name, key);
	if (row.ok && row.value) {
		c.header('etag', formatEtag(row.value.version));
		return c.json({[domain.name]: row.value.value, source: 'table'});
	}

	const known = domain.getAll(deps.getView()).get(key);
	if (row.ok || known === undefined) {
		return row.ok ? answerError('not-found') : answerStoreError(row.error);
	}

	return c.json({[domain.name]: known, source: 'view'});
};

/** Returns the changes of a put and the contract terms it would violate. */
const diffObject = async <Value>(
	c: OperatorContext,
	deps: OperatorDeps,
	domain: ObjectDomain<Value>,
) => {
	const value = await readValue(c, domain);
	if (value instanceof Response) {
		return value;
	}

	const view = deps.getView();
	const current = domain.getAll(view).get(domain.getKey(value));
	const prepared = domain.prepare?.(value, current);
	if (prepared && !prepared.ok) {
		return answerError('bad-request', {faults: prepared.error});
	}

	const after = prepared ? prepared.value : value;
	return c.json({
		revision: view.revision,
		diff: diffFields(toJson(current), toJson(after)),
		problems: findProblems(view, domain.createPut(after)),
	});
};

const putObject = async <Value>(
	c: OperatorContext,
	deps: OperatorDeps,
	domain: ObjectDomain<Value>,
) => {
	const when = readPrecondition(
		c.req.header('if-match'),
		c.req.header('if-none-match'),
	);
	if (!when.ok) {
		return answerError(when.error);
	}

	const value = await readValue(c, domain);
	return value instanceof Response
		? value
		: applyObject(c, deps, domain, {
				key: domain.getKey(value),
				value,
				when: when.value,
			});
};

const deleteObject = async <Value>(
	c: OperatorContext,
	deps: OperatorDeps,
	domain: ObjectDomain<Value>,
) => {
	const when = readPrecondition(c.req.header('if-match'), undefined);
	return when.ok
		? applyObject(c, deps, domain, {
				key: getKeyParameter(c),
				value: undefined,
				when: when.value,
			})
		: answerError(when.error);
};

/** Registers the handlers of one kind of object. */
export const registerObjects = <Value>(
	app: OperatorApp,
	deps: OperatorDeps,
	domain: ObjectDomain<Value>,
) => {
	const path = `/v1/${domain.name}s`;
	const one = `${path}/:key`;
	app.get(path, (c) =>
		c.json({
			[`${domain.name}s`]: [...domain.getAll(deps.getView()).values()],
			revision: deps.getView().revision,
		}),
	);
	app.get(one, async (c) => showObject(c, deps, domain));
	app.post(`${one}/diff`, async (c) => diffObject(c, deps, domain));
	app.put(one, async (c) => putObject(c, deps, domain));
	app.delete(one, async (c) => deleteObject(c, deps, domain));
};

/** Authorizes operators by their tokens, which are separate from callers'. */
import {fail, succeed, type errors, type Result} from '@gullstand/core';
import {hashToken, readBearerToken} from '../caller/parse-call.js';
import type {Settings} from '../settings/schema.js';

/** An operator of the settings with its token hash and role. */
export type Operator = Settings['operator']['tokens'][number];

const readMethods = new Set(['GET', 'HEAD']);

/** Finds the operator of a token and checks its role against the method. */
export const authorizeOperator = (
	tokens: Settings['operator']['tokens'],
	authorization: string | undefined,
	method: string,
): Result<Operator, errors.ErrorKind> => {
	const token = readBearerToken(authorization);
	const hash = token === undefined ? undefined : hashToken(token);
	const operator = tokens.find((each) => each.sha256 === hash);
	if (!operator) {
		return fail('unauthenticated');
	}

	const mayCall = readMethods.has(method) || operator.role === 'change';
	return mayCall ? succeed(operator) : fail('forbidden');
};

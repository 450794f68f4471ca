/** Operators' tokens: apart from callers', with a role each. */
import {fail, succeed, type errors, type Result} from '@gullstand/core';
import {hashToken, readBearerToken} from '../caller/parse-call.js';
import type {Settings} from '../settings/schema.js';

/** Who makes a call. */
export type Operator = Settings['operator']['tokens'][number];

const methodsOfReading = new Set(['GET', 'HEAD']);

/** Finds the operator of a token and whether it may use the method. */
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

	const mayCall = methodsOfReading.has(method) || operator.role === 'change';
	return mayCall ? succeed(operator) : fail('forbidden');
};

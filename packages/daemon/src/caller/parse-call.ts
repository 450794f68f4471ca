/** Validates a caller's request line and headers against the view. */
import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import * as core from '@gullstand/core';
import type {
	Contract,
	errors,
	RequestClass,
	Result,
	Service,
	ServiceTerms,
	View,
} from '@gullstand/core';
import {headerNames} from './headers.js';

/** Request line and headers of a request. */
export type RequestHead = {
	readonly method: string;
	/** Path and query as received. */
	readonly url: string;
	readonly headers: IncomingHttpHeaders;
};

/** A valid request head for a service that its caller may use. */
export type ParsedHead = {
	readonly contract: Contract;
	readonly terms: ServiceTerms;
	readonly service: Service;
	readonly requestClass: RequestClass;
	readonly path: string;
	/** Time allowed for the answer, in milliseconds. */
	readonly budgetMs: number;
	readonly idempotent: boolean;
};

/** Finds the contract of a token by its hash. */
export type FindContract = (tokenHash: string) => Contract | undefined;

const routePattern = /^\/s\/([a-z\d][a-z\d.\-]{0,62})(\/.*|\?.*)?$/v;

const bearerPattern = /^Bearer ([\u0021-\u007E]{1,512})$/v;

const budgetPattern = /^\d{1,7}$/v;

/** SHA-256 of a token in hexadecimal. */
export const hashToken = (token: string): string =>
	createHash('sha256').update(token).digest('hex');

/** Reads the bearer token of an `Authorization` field (RFC 6750). */
export const readBearerToken = (
	authorization: string | undefined,
): string | undefined => bearerPattern.exec(authorization ?? '')?.[1];

/** Indexes a view's contracts by token hash. */
export const indexTokens = (view: View): ReadonlyMap<string, Contract> =>
	new Map(
		[...view.contracts.values()].flatMap((contract) =>
			contract.tokenHashes.map((hash) => [hash, contract] as const),
		),
	);

const readField = (
	headers: IncomingHttpHeaders,
	name: string,
): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value.join(',') : value;
};

const findTarget = (
	head: RequestHead,
): {service: string; path: string} | undefined => {
	const named = readField(head.headers, headerNames.service);
	if (named !== undefined) {
		return {service: named, path: head.url};
	}

	const route = routePattern.exec(head.url);
	if (!route) {
		return undefined;
	}

	const rest = route[2] ?? '/';
	return {
		service: route[1] ?? '',
		path: rest.startsWith('/') ? rest : `/${rest}`,
	};
};

const isRequestClass = (text: string): text is RequestClass =>
	(core.requestClasses as readonly string[]).includes(text);

const readBudget = (
	headers: IncomingHttpHeaders,
	terms: ServiceTerms,
): number | undefined => {
	const text = readField(headers, headerNames.deadlineMs);
	if (text === undefined) {
		return terms.answerWithinMs;
	}

	return budgetPattern.test(text) && Number(text) > 0
		? Math.min(Number(text), terms.answerWithinMs)
		: undefined;
};

/**
 * Normalizes a path for the comparison with routes, as an executor might:
 * decoded, in lower case, without empty and dot segments (RFC 3986, section
 * 5.2.4). Undefined if it cannot be decoded.
 */
const normalizePath = (path: string): string | undefined => {
	const [raw = ''] = path.split('?', 1);
	const segments: string[] = [];
	try {
		for (const segment of decodeURIComponent(raw).split(/[\/\\]+/v)) {
			if (segment === '..') {
				segments.pop();
			} else if (segment !== '.' && segment !== '') {
				segments.push(segment.toLowerCase());
			}
		}
	} catch {
		return undefined;
	}

	return `/${segments.join('/')}`;
};

/**
 * True if a request may be sent again after an unknown outcome. A path that
 * an executor might normalize to a non-repeatable route counts as one.
 */
export const isIdempotent = (service: Service, path: string): boolean => {
	if (!service.idempotent || service.nonRepeatableRoutes.length === 0) {
		return service.idempotent;
	}

	const normalized = normalizePath(path);
	return (
		normalized !== undefined &&
		!service.nonRepeatableRoutes.some((prefix) =>
			normalized.startsWith(prefix.toLowerCase()),
		)
	);
};

const authenticate = (
	head: RequestHead,
	findContract: FindContract,
): Result<Contract, errors.ErrorKind> => {
	const token = readBearerToken(head.headers.authorization);
	const contract = token && findContract(hashToken(token));
	if (!contract) {
		return core.fail('unauthenticated');
	}

	const named = readField(head.headers, headerNames.customer);
	return named === undefined || named === contract.customer
		? core.succeed(contract)
		: core.fail('forbidden');
};

/** Validates token, customer, service, class and deadline, in that order. */
export const parseHead = (
	head: RequestHead,
	view: View,
	findContract: FindContract,
): Result<ParsedHead, errors.ErrorKind> => {
	const found = authenticate(head, findContract);
	if (!found.ok) {
		return found;
	}

	const contract = found.value;
	const target = findTarget(head);
	const service = target && view.services.get(target.service);
	if (!target || !service) {
		return core.fail('unknown-service');
	}

	const terms = contract.services.find((each) => each.service === service.name);
	if (!terms) {
		return core.fail('forbidden');
	}

	const requestClass =
		readField(head.headers, headerNames.requestClass) ?? 'standard';
	const budgetMs = readBudget(head.headers, terms);
	if (!isRequestClass(requestClass) || budgetMs === undefined) {
		return core.fail('bad-request');
	}

	const {path} = target;
	const idempotent = isIdempotent(service, path);
	return core.succeed({
		contract,
		terms,
		service,
		requestClass,
		path,
		budgetMs,
		idempotent,
	});
};

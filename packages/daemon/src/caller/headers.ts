/** Header names of the caller's interface, and which fields are passed on. */
import {
	removeConnectionHeaders,
	type HeaderFields,
} from '../http/connection-headers.js';

/** Names of our own header fields. */
export const headerNames = {
	service: 'gullstand-service',
	customer: 'gullstand-customer',
	requestClass: 'gullstand-class',
	deadlineMs: 'gullstand-deadline-ms',
	requestId: 'gullstand-request-id',
	outcome: 'gullstand-outcome',
	error: 'gullstand-error',
	retry: 'gullstand-retry',
	retryAfterMs: 'gullstand-retry-after-ms',
	attempts: 'gullstand-attempts',
	idempotencyKey: 'idempotency-key',
	/** Set to `true` on an answer given before; the name is in common use. */
	idempotentReplayed: 'idempotent-replayed',
} as const;

/** The entry sets these itself, or keeps them from the executor. */
const ownedByEntry = new Set(['content-length', 'authorization']);

/** Fields of a request that go on to an executor. */
export const selectRequestHeaders = (
	headers: HeaderFields,
): Record<string, string | string[]> => {
	const selected = removeConnectionHeaders(headers);
	for (const name of ownedByEntry) {
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete selected[name];
	}

	return selected;
};

/** Fields of an executor's answer, as its connection passed them on. */
export const selectAnswerHeaders = (
	headers: HeaderFields,
): Array<readonly [string, string]> =>
	Object.entries(headers).flatMap(([name, value]) => {
		const isDropped =
			name === 'content-length' || name.startsWith('gullstand-');
		if (isDropped || value === undefined) {
			return [];
		}

		return [value].flat().map((each) => [name, each] as const);
	});

/** Header names of the callers' API and the selection of forwarded fields. */
import {
	removeConnectionHeaders,
	type HeaderFields,
} from '../http/connection-headers.js';

/** Names of header fields that the entry reads or sets. */
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
	/** Set to `true` on a stored answer that is sent again. */
	idempotentReplayed: 'idempotent-replayed',
} as const;

/** Fields that the entry sets itself or withholds from the executor. */
const ownedByEntry = new Set(['content-length', 'authorization']);

/** Selects the fields of a request that are forwarded to an executor. */
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

/** Selects the fields of an executor's answer that are sent to the caller. */
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

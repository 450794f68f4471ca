/**
 * Header names of the caller's interface, and which fields are passed on.
 * Hop-by-hop fields are those of RFC 9110, section 7.6.1.
 */
import type {IncomingHttpHeaders} from 'node:http';

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

const hopByHop = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

// The entry sets these itself, or keeps them from the executor.
const ownedByEntry = new Set(['host', 'content-length', 'authorization']);

const listConnectionOptions = (
	connection: string | string[] | undefined,
): Set<string> =>
	new Set(
		[connection ?? []]
			.flat()
			.join(',')
			.split(',')
			.map((option) => option.trim().toLowerCase()),
	);

/** Fields of a request that go on to an executor. */
export const selectRequestHeaders = (
	headers: IncomingHttpHeaders,
): Record<string, string | string[]> => {
	const named = listConnectionOptions(headers.connection);
	const selected: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		const isDropped =
			hopByHop.has(name) || ownedByEntry.has(name) || named.has(name);
		if (!isDropped && value !== undefined) {
			selected[name] = value;
		}
	}

	return selected;
};

/** Fields of an executor's answer that go back to the caller. */
export const selectAnswerHeaders = (
	headers: Readonly<Record<string, string | string[] | undefined>>,
): Array<readonly [string, string]> => {
	const {connection} = headers;
	const named = listConnectionOptions(
		Array.isArray(connection) ? connection.join(',') : connection,
	);
	return Object.entries(headers).flatMap(([name, value]) => {
		const isDropped =
			hopByHop.has(name) ||
			name === 'content-length' ||
			name.startsWith('gullstand-') ||
			named.has(name);
		if (isDropped || value === undefined) {
			return [];
		}

		return [value].flat().map((each) => [name, each] as const);
	});
};

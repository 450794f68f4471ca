/**
 * The `Idempotency-Key` of a request, its scope and its fingerprint.
 * Source: docs/design/at-most-once.md.
 */
import {fail, succeed, type Result} from '../types/result.js';

/** Longest key taken, in characters. */
export const maxKeyLength = 255;

/** Visible ASCII only, so that a key reads the same in logs and rows. */
const visibleAscii = /^[!-~]+$/;

/** Why a key header is not taken; kinds of the error table. */
export type KeyError = 'key-required' | 'key-invalid';

/** Checks the header of a request; `undefined` means that it is missing. */
export const parseKey = (
	header: string | undefined,
): Result<string, KeyError> => {
	if (header === undefined || header === '') {
		return fail('key-required');
	}

	const isTaken = header.length <= maxKeyLength && visibleAscii.test(header);
	return isTaken ? succeed(header) : fail('key-invalid');
};

/** True if a request to a path of a service needs a key. */
export const isKeyRequired = (
	service: {
		readonly idempotent: boolean;
		readonly nonRepeatableRoutes: readonly string[];
	},
	path: string,
): boolean =>
	!service.idempotent ||
	service.nonRepeatableRoutes.some((prefix) => path.startsWith(prefix));

/** Key of the row. The customer is encoded, so that no two scopes meet. */
export const formatRowKey = (customer: string, key: string): string =>
	`${encodeURIComponent(customer)}/${key}`;

/** What makes two requests under one key the same. */
export type FingerprintParts = {
	readonly service: string;
	readonly method: string;
	/** Path with its query. */
	readonly path: string;
	/** Digest of the whole body. */
	readonly bodyHash: string;
};

/** Text of a fingerprint; an entry keeps a digest of it in the row. */
export const formatFingerprint = (parts: FingerprintParts): string =>
	JSON.stringify([parts.service, parts.method, parts.path, parts.bodyHash]);

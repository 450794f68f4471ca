/**
 * The `Idempotency-Key` of a request, its scope and its fingerprint.
 * Source: docs/design/at-most-once.md.
 */
import {fail, succeed, type Result} from '../types/result.js';

/** Maximum length of a key, in characters. */
export const maxKeyLength = 255;

/** Visible ASCII only, so that a key is unambiguous in logs and rows. */
const visibleAscii = /^[!-~]+$/;

/** Kinds of the error table for a rejected key header. */
export type KeyError = 'key-required' | 'key-invalid';

/** Validates the header of a request; `undefined` if it is missing. */
export const parseKey = (
	header: string | undefined,
): Result<string, KeyError> => {
	if (header === undefined || header === '') {
		return fail('key-required');
	}

	const isValid = header.length <= maxKeyLength && visibleAscii.test(header);
	return isValid ? succeed(header) : fail('key-invalid');
};

/** True if a request to this path of the service needs a key. */
export const isKeyRequired = (
	service: {
		readonly idempotent: boolean;
		readonly nonRepeatableRoutes: readonly string[];
	},
	path: string,
): boolean =>
	!service.idempotent ||
	service.nonRepeatableRoutes.some((prefix) => path.startsWith(prefix));

/** Row key. The customer is encoded, so that keys of customers differ. */
export const formatRowKey = (customer: string, key: string): string =>
	`${encodeURIComponent(customer)}/${key}`;

/** Parts that must be equal for two requests with the same key. */
export type FingerprintParts = {
	readonly service: string;
	readonly method: string;
	/** Path including the query. */
	readonly path: string;
	/** Digest of the whole body. */
	readonly bodyHash: string;
};

/** Text of a fingerprint; the row contains a digest of it. */
export const formatFingerprint = (parts: FingerprintParts): string =>
	JSON.stringify([parts.service, parts.method, parts.path, parts.bodyHash]);

/** Entity tags and preconditions (RFC 9110, sections 8.8.3 and 13.1). */
import * as core from '@gullstand/core';
import type {errors, Result} from '@gullstand/core';
import type {Precondition} from '@gullstand/ports';

const etagPattern = /^"(\d{1,15})"$/v;

/** Formats the entity tag of a row's version. */
export const formatEtag = (version: number): string => `"${version}"`;

/** Reads `If-Match` or `If-None-Match: *`; one of them is required. */
export const readPrecondition = (
	ifMatch: string | undefined,
	ifNoneMatch: string | undefined,
): Result<Precondition, errors.ErrorKind> => {
	if (ifNoneMatch === '*') {
		return core.succeed({kind: 'absent'});
	}

	if (ifMatch === undefined) {
		return core.fail('version-required');
	}

	const etag = etagPattern.exec(ifMatch)?.[1];
	return etag === undefined
		? core.fail('bad-request')
		: core.succeed({kind: 'version', version: Number(etag)});
};

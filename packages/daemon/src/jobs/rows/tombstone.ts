/**
 * Tombstones: rows in the place of jobs that were cancelled before they were
 * stored. A submission checks that its job has no row, so one that is still
 * under way has no effect. Source: docs/design/queue-homes.md.
 */
import * as z from 'zod';
import {decodeRow} from './tables.js';

/** Which cancelled job a row stands for, besides its key. */
export type Tombstone = {
	readonly queue: string;
	/** Team of the caller that cancelled it; absent without teams. */
	readonly team?: string | undefined;
};

const tombstoneSchema = z.object({
	tombstone: z.object({queue: z.string(), team: z.string().optional()}),
});

/** Tells tombstones from jobs, without decoding the latter. */
const prefix = '{"tombstone":';

export const encodeTombstone = (tombstone: Tombstone): string =>
	JSON.stringify({tombstone});

/** Decodes the value of a row of the job table; undefined if it is a job. */
export const decodeTombstone = (value: string): Tombstone | undefined => {
	const decoded = value.startsWith(prefix)
		? decodeRow(tombstoneSchema, value)
		: undefined;
	return decoded?.ok ? decoded.value.tombstone : undefined;
};

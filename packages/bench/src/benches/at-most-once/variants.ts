/**
 * Broken variants of the entry's ports. Each undoes one rule of the design;
 * the judge must catch every one, or it proves nothing.
 */
import * as core from '@gullstand/core';
import type {TableService, Write} from '@gullstand/ports';

type RunResult = core.idempotency.RunResult;

/** What an entry is given, as the variant leaves it. */
export type Variant = {
	readonly wrapTables: (tables: TableService) => TableService;
	readonly wrapResult: (result: RunResult) => RunResult;
};

const keepTables = (tables: TableService) => tables;
const keepResult = (result: RunResult) => result;

const guessedVersion = 1;

/** A write without a reply counts as committed: dispatches on a timeout. */
const wrapAsCommitted = (tables: TableService): TableService => ({
	...tables,
	async commit(writes, operationId) {
		const result = await tables.commit(writes, operationId);
		return !result.ok && result.error.kind === 'timeout'
			? core.succeed({versions: writes.map(() => guessedVersion)})
			: result;
	},
});

const removePrecondition = (write: Write): Write => ({
	...write,
	when: {kind: 'any'},
});

/** Writes over whatever is there: two entries may both start. */
const wrapUnconditional = (tables: TableService): TableService => ({
	...tables,
	commit: async (writes, operationId) =>
		tables.commit(
			writes.map((write) => removePrecondition(write)),
			operationId,
		),
});

/** A lost reply counts as a refusal: gives the key back after a run. */
const takeForRefused = (result: RunResult): RunResult =>
	result.kind === 'lost'
		? {kind: 'refused', error: 'upstream-refused'}
		: result;

/** The variants; `correct` is the code as it ships. */
export const variants = {
	correct: {wrapTables: keepTables, wrapResult: keepResult},
	'dispatches-on-timeout': {
		wrapTables: wrapAsCommitted,
		wrapResult: keepResult,
	},
	'writes-unconditionally': {
		wrapTables: wrapUnconditional,
		wrapResult: keepResult,
	},
	'takes-lost-for-refused': {
		wrapTables: keepTables,
		wrapResult: takeForRefused,
	},
} as const satisfies Record<string, Variant>;

/** Name of a variant. */
export type VariantName = keyof typeof variants;

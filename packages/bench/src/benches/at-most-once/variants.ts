/**
 * Broken variants of the entry's ports. Each violates one rule of the design,
 * and the checker must detect it.
 */
import * as core from '@gullstand/core';
import type {TableService, Write} from '@gullstand/ports';

type RunResult = core.idempotency.RunResult;

/** Wrappers of the ports of an entry. */
export type Variant = {
	readonly wrapTables: (tables: TableService) => TableService;
	readonly wrapResult: (result: RunResult) => RunResult;
};

const keepTables = (tables: TableService) => tables;
const keepResult = (result: RunResult) => result;

const guessedVersion = 1;

/** Treats a timed-out write as committed and so dispatches the request. */
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

/** Writes without preconditions, so that two entries may both start. */
const wrapUnconditional = (tables: TableService): TableService => ({
	...tables,
	commit: async (writes, operationId) =>
		tables.commit(
			writes.map((write) => removePrecondition(write)),
			operationId,
		),
});

/** Treats a lost reply as a refusal, which releases the key after a run. */
const treatLostAsRefused = (result: RunResult): RunResult =>
	result.kind === 'lost'
		? {kind: 'refused', error: 'upstream-refused'}
		: result;

/** The variants; `correct` is the unmodified code. */
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
		wrapResult: treatLostAsRefused,
	},
} as const satisfies Record<string, Variant>;

export type VariantName = keyof typeof variants;

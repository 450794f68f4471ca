/**
 * Commits a transaction and, if a reply is lost, determines the outcome: reads
 * the witness row back and sends the same transaction again until the outcome is
 * certain or the deadline has passed.
 */
import * as core from '@gullstand/core';
import {match} from 'ts-pattern';
import type {
	Row,
	StoreError,
	TableService,
	Write,
} from '../ports/table-service.js';
import type {Environment} from './guarded-call.js';

/** A transaction whose outcome can be read back. */
export type Operation = {
	/** Unique to this transaction and the same for all attempts. */
	readonly id: string;
	readonly writes: readonly Write[];
	/**
	 * A row put by the transaction with a precondition other than `any`, so
	 * that no two attempts can both commit. Prefer a row that is created here and
	 * never changed, since it always gives a certain outcome.
	 */
	readonly witness: {readonly table: string; readonly key: string};
};

/** Outcome of a transaction. */
export type CommitOutcome =
	/** `versions` of the rows put; absent if the outcome was read back. */
	| {readonly kind: 'committed'; readonly versions?: readonly number[]}
	/** Not committed: a precondition did not hold. */
	| {
			readonly kind: 'conflict';
			readonly table: string;
			readonly key: string;
			readonly current: Row | undefined;
	  }
	/** Not committed. */
	| {
			readonly kind: 'not-committed';
			readonly reason: 'unavailable' | 'too-large';
	  }
	/** May have been committed, or may still be. */
	| {readonly kind: 'unknown'};

/** Environment, deadline and settings of a read-back. */
export type ReadBackOptions = {
	readonly env: Environment;
	/** When to give up, in milliseconds of the environment's clock. */
	readonly deadline: number;
	readonly cfg?: core.store.ReadBackConfig;
};

const findWitness = ({writes, witness}: Operation): core.store.Witness => {
	const write = writes.find(
		({table, key}) => table === witness.table && key === witness.key,
	);
	if (write?.kind !== 'put' || write.when.kind === 'any') {
		throw new TypeError('The witness must be a put with a precondition');
	}

	return write.when.kind === 'absent'
		? {kind: 'write-once'}
		: {kind: 'shared', expectedVersion: write.when.version};
};

type Step = CommitOutcome | {readonly kind: 'pending'};

type Attempt = {
	readonly tables: TableService;
	readonly operation: Operation;
	readonly witness: core.store.Witness;
};

type WitnessRead = {
	readonly verdict: core.store.ReadBackVerdict;
	readonly row: Row | undefined;
};

const readWitness = async ({
	tables,
	operation,
	witness,
}: Attempt): Promise<WitnessRead | undefined> => {
	const {table, key} = operation.witness;
	const read = await tables.get(table, key);
	if (!read.ok) {
		return undefined;
	}

	const row = read.value;
	return {verdict: core.store.judgeWitness(witness, row, operation.id), row};
};

const toStep = (read: WitnessRead | undefined, operation: Operation): Step => {
	switch (read?.verdict.kind) {
		case 'committed': {
			return {kind: 'committed'};
		}

		case 'superseded': {
			return {kind: 'conflict', ...operation.witness, current: read.row};
		}

		case 'overwritten': {
			return {kind: 'unknown'};
		}

		case 'pending':
		case undefined: {
			return {kind: 'pending'};
		}
	}
};

/**
 * Resolves a conflict after a lost reply. The conflict may be with an earlier
 * attempt of the same transaction, so the witness decides whether one committed.
 */
const resolveConflict = async (
	attempt: Attempt,
	conflict: CommitOutcome & {readonly kind: 'conflict'},
): Promise<Step> => {
	const {operation, witness} = attempt;
	if (conflict.current?.operationId === operation.id) {
		return {kind: 'committed'};
	}

	const read = await readWitness(attempt);
	const kind = read?.verdict.kind;
	const isCertain =
		kind === 'superseded' ||
		(kind === 'pending' && witness.kind === 'write-once');
	return isCertain ? conflict : toStep(read, operation);
};

const resolveFailure = async (
	attempt: Attempt,
	error: StoreError,
	wasReplyLost: boolean,
): Promise<Step> =>
	match(error)
		.with({kind: 'conflict'}, async (conflict) =>
			wasReplyLost ? resolveConflict(attempt, conflict) : conflict,
		)
		.with({kind: 'too-large'}, async (): Promise<Step> => ({
			kind: 'not-committed',
			reason: 'too-large',
		}))
		.with({kind: 'unavailable'}, async (): Promise<Step> =>
			wasReplyLost
				? {kind: 'pending'}
				: {kind: 'not-committed', reason: 'unavailable'},
		)
		.with({kind: 'timeout'}, async () =>
			toStep(await readWitness(attempt), attempt.operation),
		)
		.exhaustive();

/**
 * Commits an operation. Never returns `conflict` or `not-committed` while an
 * attempt may still take effect. Throws `TypeError` if the witness is not a put
 * with a precondition.
 */
export const commitWithReadBack = async (
	tables: TableService,
	operation: Operation,
	{env, deadline, cfg = core.store.defaultReadBackConfig}: ReadBackOptions,
): Promise<CommitOutcome> => {
	const attempt = {tables, operation, witness: findWitness(operation)};
	let wasReplyLost = false;
	for (let attempts = 1; ; attempts++) {
		const result = await tables.commit(operation.writes, operation.id);
		if (result.ok) {
			return {kind: 'committed', versions: result.value.versions};
		}

		wasReplyLost ||= result.error.kind === 'timeout';
		const step = await resolveFailure(attempt, result.error, wasReplyLost);
		if (step.kind !== 'pending') {
			return step;
		}

		const delayMs = core.store.getRetryDelayMs(cfg, attempts, env.random());
		if (env.now() + delayMs >= deadline) {
			return {kind: 'unknown'};
		}

		await env.wait(delayMs);
	}
};

/**
 * Commits a transaction and, when a reply is lost, finds out what became of
 * it: reads the witness row back and sends the same transaction again until
 * the outcome is certain or the deadline has passed.
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

/** A transaction with what is needed to ask for its outcome. */
export type Operation = {
	/** Unique to this transaction; every attempt carries it. */
	readonly id: string;
	readonly writes: readonly Write[];
	/**
	 * A row put by the transaction with a precondition other than `any`, so
	 * that no two attempts can both commit. One that is created here and never
	 * changed gives certainty; name it where there is one.
	 */
	readonly witness: {readonly table: string; readonly key: string};
};

/** What became of a transaction. */
export type CommitOutcome =
	/** Versions of the rows put; absent if only read back. */
	| {readonly kind: 'committed'; readonly versions?: readonly number[]}
	/** Certainly not committed: a row was not as expected. */
	| {
			readonly kind: 'conflict';
			readonly table: string;
			readonly key: string;
			readonly current: Row | undefined;
	  }
	/** Certainly not committed. */
	| {
			readonly kind: 'not-committed';
			readonly reason: 'unavailable' | 'too-large';
	  }
	/** May have been committed, or may yet be. */
	| {readonly kind: 'unknown'};

/** Sources of time and chance, and how long to try. */
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
 * After a lost reply a conflict may be with this very transaction. Without
 * one, it tells that no attempt has committed or ever will.
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
	const isOver =
		kind === 'superseded' ||
		(kind === 'pending' && witness.kind === 'write-once');
	return isOver ? conflict : toStep(read, operation);
};

const settleFailure = async (
	attempt: Attempt,
	error: StoreError,
	wasLost: boolean,
): Promise<Step> =>
	match(error)
		.with({kind: 'conflict'}, async (conflict) =>
			wasLost ? resolveConflict(attempt, conflict) : conflict,
		)
		.with({kind: 'too-large'}, async (): Promise<Step> => ({
			kind: 'not-committed',
			reason: 'too-large',
		}))
		.with({kind: 'unavailable'}, async (): Promise<Step> =>
			wasLost
				? {kind: 'pending'}
				: {kind: 'not-committed', reason: 'unavailable'},
		)
		.with({kind: 'timeout'}, async () =>
			toStep(await readWitness(attempt), attempt.operation),
		)
		.exhaustive();

/**
 * Commits an operation. Never answers `conflict` or `not-committed` while an
 * attempt may still take effect. An operation whose witness is no such put is
 * a fault of the program and throws `TypeError`.
 */
export const commitWithReadBack = async (
	tables: TableService,
	operation: Operation,
	{env, deadline, cfg = core.store.defaultReadBackConfig}: ReadBackOptions,
): Promise<CommitOutcome> => {
	const attempt = {tables, operation, witness: findWitness(operation)};
	let wasLost = false;
	for (let attempts = 1; ; attempts++) {
		const result = await tables.commit(operation.writes, operation.id);
		if (result.ok) {
			return {kind: 'committed', versions: result.value.versions};
		}

		wasLost ||= result.error.kind === 'timeout';
		const step = await settleFailure(attempt, result.error, wasLost);
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
